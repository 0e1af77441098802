package org.pollenspar.standin.request;

/** A statement failed; carries the SQLSTATE that the caller receives. */
public final class SqlException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String sqlState;

  /** Creates the error. */
  public SqlException(String sqlState, String message) {
    super(message);
    this.sqlState = sqlState;
  }

  /** Returns the five-character SQLSTATE. */
  public String sqlState() {
    return sqlState;
  }
}
