package org.pollenspar.standin.request;

import org.jspecify.annotations.Nullable;

/** Read access to the values of one row by column name. */
@FunctionalInterface
public interface RowView {
  /** For expressions without a row: every column reference fails. */
  RowView EMPTY =
      name -> {
        throw new SqlException("42703", "column \"" + name + "\" does not exist");
      };

  /** Returns the value of a column; fails if the column does not exist. */
  @Nullable Object value(String column) throws SqlException;
}
