package org.pollenspar.standin.request;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The result of one statement.
 *
 * @param tag command tag of the protocol's CommandComplete message, for example {@code UPDATE 1}
 * @param columns result columns; empty if the statement returns no rows
 * @param rows rows, with values in text form
 */
public record QueryResult(
    String tag, List<Column> columns, List<? extends List<@Nullable String>> rows) {

  /** Creates the result of a statement that returns no rows. */
  public static QueryResult ofTag(String tag) {
    return new QueryResult(tag, List.of(), List.of());
  }
}
