package org.pollenspar.core.request;

/**
 * One SQL statement of a request.
 *
 * @param sql text
 * @param expectedRows rows that it must affect, or {@link #ANY_ROWS}
 */
public record Statement(String sql, int expectedRows) {
  /** No expectation on the number of rows. */
  public static final int ANY_ROWS = -1;
}
