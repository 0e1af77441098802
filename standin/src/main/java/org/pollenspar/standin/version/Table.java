package org.pollenspar.standin.version;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.standin.request.Column;
import org.pollenspar.standin.request.RowView;
import org.pollenspar.standin.request.SqlException;

/** A table and its committed rows; values are kept in text form. */
final class Table {
  /** Key column of a table without a primary key. */
  static final int NO_KEY = -1;

  private final String name;
  private final List<Column> columns;
  private final Map<String, Integer> columnIndexes = new HashMap<>();
  private final int keyColumn;
  final Map<String, List<@Nullable String>> rows = new LinkedHashMap<>();

  Table(String name, List<Column> columns) {
    this.name = name;
    this.columns = List.copyOf(columns);
    int key = NO_KEY;
    for (int i = 0; i < columns.size(); i++) {
      columnIndexes.put(columns.get(i).name(), i);
      key = columns.get(i).primaryKey() ? i : key;
    }
    this.keyColumn = key;
  }

  String name() {
    return name;
  }

  List<Column> columns() {
    return columns;
  }

  int keyColumn() {
    return keyColumn;
  }

  int columnIndex(String column) throws SqlException {
    Integer index = columnIndexes.get(column);
    if (index == null) {
      throw new SqlException(
          "42703", "column \"" + column + "\" of relation \"" + name + "\" does not exist");
    }
    return index;
  }

  RowView view(List<@Nullable String> row) {
    return column -> {
      int index = columnIndex(column);
      return columns.get(index).type().parse(row.get(index));
    };
  }
}
