package org.pollenspar.load.request;

/**
 * An SQL statement that may hold the placeholders {@code {account}}, {@code {session}}, {@code
 * {value}}, {@code {echo}} and {@code {key}}.
 *
 * @param sql text of the statement
 * @param expectRows rows that it must affect or return; -1 for any number
 */
public record StatementTemplate(String sql, int expectRows) {
  public static final int ANY_ROWS = -1;
}
