package org.pollenspar.core.request;

/** Transaction state of a session or of a database connection. */
public enum TransactionState {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  OPEN,
  /** The open transaction has failed; it can only be ended. */
  FAILED
}
