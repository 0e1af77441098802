package org.pollenspar.core.request;

/**
 * One SQL statement of a request.
 *
 * @param sql SQL text
 * @param expectedRows number of rows that it must affect, or {@link #ANY_ROWS}
 */
public record Statement(String sql, int expectedRows) {
  /** Any number of affected rows is accepted. */
  public static final int ANY_ROWS = -1;
}
