package org.pollenspar.standin.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.pollenspar.standin.request.Column;
import org.pollenspar.standin.request.ColumnType;
import org.pollenspar.standin.request.Expression;
import org.pollenspar.standin.request.QueryResult;
import org.pollenspar.standin.request.RowView;
import org.pollenspar.standin.request.SqlException;
import org.pollenspar.standin.request.SqlStatement;

/**
 * Executes statements on the committed rows overlaid with the uncommitted changes of the
 * transaction itself (isolation level read committed). Guarded by the lock of the {@link
 * DatabaseEngine}.
 *
 * <p>Another transaction may change a row while this one waits for its lock. A row is therefore
 * read again, and the conditions are checked again, after it is locked; so {@code UPDATE ... SET a
 * = a - 1 WHERE a >= 1} never makes {@code a} negative.
 */
final class StatementExecutor {
  private final ReplicatedLog log;
  private final LockTable locks;
  private long generatedKeys;

  StatementExecutor(ReplicatedLog log, LockTable locks) {
    this.log = log;
    this.locks = locks;
  }

  QueryResult execute(Transaction transaction, SqlStatement statement) throws SqlException {
    if (statement instanceof SqlStatement.CreateTable create) {
      return createTable(transaction, create);
    } else if (statement instanceof SqlStatement.Insert insert) {
      return insert(transaction, insert);
    } else if (statement instanceof SqlStatement.Update update) {
      return update(transaction, update);
    } else if (statement instanceof SqlStatement.Delete delete) {
      return delete(transaction, delete);
    } else if (statement instanceof SqlStatement.Select select) {
      return select(transaction, select);
    }
    throw new SqlException("0A000", "statement is not supported");
  }

  private QueryResult createTable(Transaction transaction, SqlStatement.CreateTable create)
      throws SqlException {
    locks.lock(transaction, new RowKey(create.table(), ""));
    if (log.table(create.table()).isPresent() || transaction.created.containsKey(create.table())) {
      if (create.ifNotExists()) {
        return QueryResult.ofTag("CREATE TABLE");
      }
      throw new SqlException("42P07", "relation \"" + create.table() + "\" already exists");
    }
    transaction.created.put(create.table(), new Table(create.table(), create.columns()));
    return QueryResult.ofTag("CREATE TABLE");
  }

  private QueryResult insert(Transaction transaction, SqlStatement.Insert insert)
      throws SqlException {
    Table table = table(transaction, insert.table());
    List<List<@Nullable String>> inserted = new ArrayList<>();
    for (List<Expression> values : insert.rows()) {
      List<@Nullable String> row = newRow(table, insert.columns(), values);
      RowKey key = new RowKey(table.name(), keyOf(transaction, table, row));
      locks.lock(transaction, key);
      if (visibleRow(transaction, table, key) == null) {
        transaction.writes.put(key, Optional.of(row));
        inserted.add(row);
      } else if (!insert.ignoreConflict()) {
        throw new SqlException(
            "23505",
            "duplicate key value violates unique constraint \"" + table.name() + "_pkey\"");
      }
    }
    return result("INSERT 0 " + inserted.size(), table, insert.returning(), inserted);
  }

  private QueryResult update(Transaction transaction, SqlStatement.Update update)
      throws SqlException {
    Table table = table(transaction, update.table());
    List<List<@Nullable String>> updated = new ArrayList<>();
    for (RowKey key : matchingRows(transaction, table, update.conditions()).keySet()) {
      List<@Nullable String> row = lockAndRecheck(transaction, table, key, update.conditions());
      if (row == null) {
        continue;
      }
      List<@Nullable String> changed = new ArrayList<>(row);
      for (SqlStatement.Assignment assignment : update.assignments()) {
        int index = table.columnIndex(assignment.column());
        Object value = assignment.value().evaluate(table.view(row));
        changed.set(index, toStoredText(table.columns().get(index), value));
      }
      if (table.keyColumn() != Table.NO_KEY && !key.key().equals(changed.get(table.keyColumn()))) {
        throw new SqlException("0A000", "changing a primary key is not supported");
      }
      transaction.writes.put(key, Optional.of(changed));
      updated.add(changed);
    }
    return result("UPDATE " + updated.size(), table, update.returning(), updated);
  }

  private QueryResult delete(Transaction transaction, SqlStatement.Delete delete)
      throws SqlException {
    Table table = table(transaction, delete.table());
    List<List<@Nullable String>> deleted = new ArrayList<>();
    for (RowKey key : matchingRows(transaction, table, delete.conditions()).keySet()) {
      List<@Nullable String> row = lockAndRecheck(transaction, table, key, delete.conditions());
      if (row != null) {
        transaction.writes.put(key, Optional.empty());
        deleted.add(row);
      }
    }
    return result("DELETE " + deleted.size(), table, delete.returning(), deleted);
  }

  private QueryResult select(Transaction transaction, SqlStatement.Select select)
      throws SqlException {
    if (select.table() == null) {
      List<Column> columns = new ArrayList<>();
      List<@Nullable String> row = new ArrayList<>();
      for (SqlStatement.SelectItem item : select.items()) {
        Object value = item.expression().evaluate(RowView.EMPTY);
        columns.add(new Column(item.alias(), ColumnType.ofValue(value), false));
        row.add(ColumnType.format(value));
      }
      return new QueryResult("SELECT 1", columns, List.of(row));
    }
    Table table = table(transaction, select.table());
    Collection<List<@Nullable String>> found =
        select.forUpdate()
            ? lockedRows(transaction, table, select.conditions())
            : matchingRows(transaction, table, select.conditions()).values();
    return Projection.of(table, select, new ArrayList<>(found));
  }

  private List<List<@Nullable String>> lockedRows(
      Transaction transaction, Table table, List<Expression> conditions) throws SqlException {
    List<List<@Nullable String>> rows = new ArrayList<>();
    for (RowKey key : matchingRows(transaction, table, conditions).keySet()) {
      List<@Nullable String> row = lockAndRecheck(transaction, table, key, conditions);
      if (row != null) {
        rows.add(row);
      }
    }
    return rows;
  }

  private @Nullable List<@Nullable String> lockAndRecheck(
      Transaction transaction, Table table, RowKey key, List<Expression> conditions)
      throws SqlException {
    locks.lock(transaction, key);
    List<@Nullable String> row = visibleRow(transaction, table, key);
    return row != null && Expression.holdAll(conditions, table.view(row)) ? row : null;
  }

  private static QueryResult result(
      String tag,
      Table table,
      List<SqlStatement.SelectItem> returning,
      List<List<@Nullable String>> rows)
      throws SqlException {
    return returning.isEmpty()
        ? QueryResult.ofTag(tag)
        : Projection.ofItems(tag, table, returning, rows);
  }

  private Table table(Transaction transaction, String name) throws SqlException {
    Table created = transaction.created.get(name);
    if (created != null) {
      return created;
    }
    return log.table(name)
        .orElseThrow(() -> new SqlException("42P01", "relation \"" + name + "\" does not exist"));
  }

  private static List<@Nullable String> newRow(
      Table table, List<String> names, List<Expression> values) throws SqlException {
    int expected = names.isEmpty() ? table.columns().size() : names.size();
    if (values.size() != expected) {
      throw new SqlException("42601", "INSERT has " + values.size() + " values, not " + expected);
    }
    List<@Nullable String> row = new ArrayList<>(Collections.nCopies(table.columns().size(), null));
    for (int i = 0; i < values.size(); i++) {
      int index = names.isEmpty() ? i : table.columnIndex(names.get(i));
      Object value = values.get(i).evaluate(RowView.EMPTY);
      row.set(index, toStoredText(table.columns().get(index), value));
    }
    return row;
  }

  private static @Nullable String toStoredText(Column column, @Nullable Object value)
      throws SqlException {
    return ColumnType.format(column.type().parse(ColumnType.format(value)));
  }

  private String keyOf(Transaction transaction, Table table, List<@Nullable String> row)
      throws SqlException {
    if (table.keyColumn() == Table.NO_KEY) {
      generatedKeys++;
      // Two primaries can generate the same number; the term makes the keys differ.
      return "#" + transaction.term + "." + generatedKeys;
    }
    String key = row.get(table.keyColumn());
    if (key == null) {
      throw new SqlException("23502", "null value in the primary key of " + table.name());
    }
    return key;
  }

  private static @Nullable List<@Nullable String> visibleRow(
      Transaction transaction, Table table, RowKey key) {
    Optional<List<@Nullable String>> own = transaction.writes.get(key);
    return own != null ? own.orElse(null) : table.rows.get(key.key());
  }

  /**
   * Returns the visible rows that satisfy the conditions, without locking them. If a condition
   * fixes the primary key, only that row is read.
   */
  private static Map<RowKey, List<@Nullable String>> matchingRows(
      Transaction transaction, Table table, List<Expression> conditions) throws SqlException {
    Map<RowKey, List<@Nullable String>> found = new LinkedHashMap<>();
    String lookupKey = lookupKey(table, conditions);
    if (lookupKey != null) {
      addIfMatching(transaction, table, new RowKey(table.name(), lookupKey), conditions, found);
      return found;
    }
    for (String key : table.rows.keySet()) {
      addIfMatching(transaction, table, new RowKey(table.name(), key), conditions, found);
    }
    for (RowKey key : transaction.writes.keySet()) {
      if (key.table().equals(table.name()) && !table.rows.containsKey(key.key())) {
        addIfMatching(transaction, table, key, conditions, found);
      }
    }
    return found;
  }

  private static void addIfMatching(
      Transaction transaction,
      Table table,
      RowKey key,
      List<Expression> conditions,
      Map<RowKey, List<@Nullable String>> found)
      throws SqlException {
    List<@Nullable String> row = visibleRow(transaction, table, key);
    if (row != null && Expression.holdAll(conditions, table.view(row))) {
      found.put(key, row);
    }
  }

  /** Returns the primary key that a condition compares with a constant; null if there is none. */
  private static @Nullable String lookupKey(Table table, List<Expression> conditions)
      throws SqlException {
    if (table.keyColumn() == Table.NO_KEY) {
      return null;
    }
    Column key = table.columns().get(table.keyColumn());
    for (Expression condition : conditions) {
      if (condition instanceof Expression.Comparison comparison
          && comparison.operator().equals("=")
          && comparison.left() instanceof Expression.ColumnReference reference
          && reference.name().equals(key.name())
          && isConstant(comparison.right())) {
        return toStoredText(key, comparison.right().evaluate(RowView.EMPTY));
      }
    }
    return null;
  }

  private static boolean isConstant(Expression expression) {
    return expression instanceof Expression.Literal
        || (expression instanceof Expression.Cast cast && isConstant(cast.operand()));
  }
}
