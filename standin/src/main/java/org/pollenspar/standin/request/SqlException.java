package org.pollenspar.standin.request;

/** Failure of a statement, with the SQLSTATE that is sent to the client. */
public final class SqlException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String sqlState;

  public SqlException(String sqlState, String message) {
    super(message);
    this.sqlState = sqlState;
  }

  public String sqlState() {
    return sqlState;
  }
}
