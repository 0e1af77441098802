package org.pollenspar.load.request;

/**
 * A statement with the placeholders {@code {account}}, {@code {session}}, {@code {value}}, {@code
 * {echo}} and {@code {key}}.
 *
 * @param sql text
 * @param expectRows rows that it must affect or return; -1 for any number
 */
public record StatementTemplate(String sql, int expectRows) {
  /** Any number of rows. */
  public static final int ANY_ROWS = -1;
}
