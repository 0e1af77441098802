package org.pollenspar.standin.request;

import org.jspecify.annotations.Nullable;

/** Gives the values of the columns of one row. */
@FunctionalInterface
public interface RowView {
  /** No row: every column is unknown. */
  RowView EMPTY =
      name -> {
        throw new SqlException("42703", "column \"" + name + "\" does not exist");
      };

  /** Returns the value of a column. */
  @Nullable Object value(String column) throws SqlException;
}
