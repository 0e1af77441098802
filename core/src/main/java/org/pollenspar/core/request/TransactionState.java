package org.pollenspar.core.request;

/** Transaction state of a session or of a database connection. */
public enum TransactionState {
  /** No transaction. */
  IDLE,
  /** In a transaction. */
  OPEN,
  /** In a transaction that failed; only its end is accepted. */
  FAILED
}
