package org.pollenspar.standin.version;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.pollenspar.standin.request.Column;
import org.pollenspar.standin.request.ColumnType;
import org.pollenspar.standin.request.Expression;
import org.pollenspar.standin.request.QueryResult;
import org.pollenspar.standin.request.SqlException;
import org.pollenspar.standin.request.SqlStatement;
import org.pollenspar.standin.request.SqlStatement.SelectItem;

/**
 * Computes a result from selected rows of a table: sorting, limit, column expressions and
 * aggregates.
 */
final class Projection {
  private Projection() {}

  static QueryResult of(Table table, SqlStatement.Select select, List<List<@Nullable String>> rows)
      throws SqlException {
    if (select.order().isPresent()) {
      sort(table, select.order().get(), rows);
    }
    boolean aggregated = select.items().stream().anyMatch(SelectItem::isAggregate);
    int rowCount = aggregated ? rows.size() : (int) Math.min(rows.size(), select.limit());
    List<List<@Nullable String>> selected = rows.subList(0, rowCount);
    String tag = "SELECT " + (aggregated ? 1 : rowCount);
    return aggregated
        ? aggregateRow(tag, table, select.items(), selected)
        : ofItems(tag, table, select.items(), selected);
  }

  static QueryResult ofItems(
      String tag, Table table, List<SelectItem> items, List<List<@Nullable String>> rows)
      throws SqlException {
    List<Column> columns = new ArrayList<>();
    for (SelectItem item : items) {
      if (item.all()) {
        columns.addAll(table.columns());
      } else {
        columns.add(new Column(item.alias(), typeOf(table, item.expression()), false));
      }
    }
    List<List<@Nullable String>> projected = new ArrayList<>();
    for (List<@Nullable String> row : rows) {
      List<@Nullable String> cells = new ArrayList<>();
      for (SelectItem item : items) {
        if (item.all()) {
          cells.addAll(row);
        } else {
          cells.add(ColumnType.format(item.expression().evaluate(table.view(row))));
        }
      }
      projected.add(cells);
    }
    return new QueryResult(tag, columns, projected);
  }

  private static QueryResult aggregateRow(
      String tag, Table table, List<SelectItem> items, List<List<@Nullable String>> rows)
      throws SqlException {
    List<Column> columns = new ArrayList<>();
    List<@Nullable String> cells = new ArrayList<>();
    for (SelectItem item : items) {
      Object value = item.isAggregate() ? aggregate(table, item, rows) : constant(item);
      boolean counted = item.aggregate().equals("count") || value == null;
      columns.add(
          new Column(item.alias(), counted ? ColumnType.INT8 : ColumnType.ofValue(value), false));
      cells.add(ColumnType.format(value));
    }
    return new QueryResult(tag, columns, List.of(cells));
  }

  private static @Nullable Object constant(SelectItem item) throws SqlException {
    if (item.expression() instanceof Expression.Literal literal) {
      return literal.value();
    }
    throw new SqlException("42803", "column \"" + item.alias() + "\" must be aggregated");
  }

  private static @Nullable Object aggregate(
      Table table, SelectItem item, List<List<@Nullable String>> rows) throws SqlException {
    long count = 0;
    Object result = null;
    for (List<@Nullable String> row : rows) {
      Object value = item.expression().evaluate(table.view(row));
      if (value == null) {
        continue;
      }
      count++;
      result = result == null ? value : combine(item.aggregate(), result, value);
    }
    return item.aggregate().equals("count") ? (Object) count : result;
  }

  private static @Nullable Object combine(String aggregate, Object a, Object b)
      throws SqlException {
    return switch (aggregate) {
      case "sum" ->
          new Expression.Arithmetic('+', new Expression.Literal(a), new Expression.Literal(b))
              .evaluate(column -> null);
      case "min" -> Expression.compare(a, b) <= 0 ? a : b;
      case "max" -> Expression.compare(a, b) >= 0 ? a : b;
      default -> a;
    };
  }

  private static ColumnType typeOf(Table table, Expression expression) throws SqlException {
    if (expression instanceof Expression.ColumnReference reference) {
      return table.columns().get(table.columnIndex(reference.name())).type();
    }
    if (expression instanceof Expression.Cast cast) {
      return cast.type();
    }
    if (expression instanceof Expression.Arithmetic arithmetic) {
      return arithmetic.operator() == '|'
          ? ColumnType.TEXT
          : widest(typeOf(table, arithmetic.left()), typeOf(table, arithmetic.right()));
    }
    return expression instanceof Expression.Literal literal
        ? ColumnType.ofValue(literal.value())
        : ColumnType.BOOL;
  }

  private static ColumnType widest(ColumnType a, ColumnType b) {
    return a == ColumnType.NUMERIC || b == ColumnType.NUMERIC
        ? ColumnType.NUMERIC
        : ColumnType.INT8;
  }

  private static void sort(Table table, SqlStatement.Order order, List<List<@Nullable String>> rows)
      throws SqlException {
    int index = table.columnIndex(order.column());
    ColumnType type = table.columns().get(index).type();
    boolean numeric = type != ColumnType.TEXT && type != ColumnType.BOOL;
    Comparator<String> values =
        numeric ? Comparator.comparing(BigDecimal::new) : Comparator.naturalOrder();
    Comparator<List<@Nullable String>> byColumn =
        Comparator.comparing(
            row -> Optional.ofNullable(row.get(index)),
            Comparator.comparing(value -> value.orElse(null), Comparator.nullsLast(values)));
    rows.sort(order.descending() ? byColumn.reversed() : byColumn);
  }
}
