package org.pollenspar.standin.request;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** A parsed statement. */
public sealed interface SqlStatement {

  /** Returns whether the statement changes data. */
  default boolean writes() {
    return false;
  }

  /** CREATE TABLE. */
  record CreateTable(String table, boolean ifNotExists, List<Column> columns)
      implements SqlStatement {
    @Override
    public boolean writes() {
      return true;
    }
  }

  /** INSERT with literal rows; an empty list of columns means all in order. */
  record Insert(
      String table,
      List<String> columns,
      List<List<Expression>> rows,
      boolean ignoreConflict,
      List<SelectItem> returning)
      implements SqlStatement {
    @Override
    public boolean writes() {
      return true;
    }
  }

  /** UPDATE. */
  record Update(
      String table,
      List<Assignment> assignments,
      List<Expression> conditions,
      List<SelectItem> returning)
      implements SqlStatement {
    @Override
    public boolean writes() {
      return true;
    }
  }

  /** DELETE. */
  record Delete(String table, List<Expression> conditions, List<SelectItem> returning)
      implements SqlStatement {
    @Override
    public boolean writes() {
      return true;
    }
  }

  /** SELECT from one table or from none. */
  record Select(
      List<SelectItem> items,
      @Nullable String table,
      List<Expression> conditions,
      Optional<Order> order,
      long limit,
      boolean forUpdate)
      implements SqlStatement {
    @Override
    public boolean writes() {
      return forUpdate;
    }
  }

  /** SELECT * FROM pollenspar.state or pollenspar.wait_state. */
  record StateQuery(String nonce, long afterOffset, long timeoutMillis) implements SqlStatement {}

  /** BEGIN, COMMIT or ROLLBACK. */
  record Control(Verb verb, boolean readOnly) implements SqlStatement {
    /** Which one. */
    public enum Verb {
      BEGIN,
      COMMIT,
      ROLLBACK
    }
  }

  /** SET, which is accepted and has no effect. */
  record Setting() implements SqlStatement {}

  /** SHOW of one setting. */
  record Show(String name) implements SqlStatement {}

  /** Column and new value of an UPDATE. */
  record Assignment(String column, Expression value) {}

  /** Sorting by one column. */
  record Order(String column, boolean descending) {}

  /**
   * One item of a SELECT list.
   *
   * @param aggregate count, sum, min or max; empty for a plain expression; {@code *} for all
   *     columns
   * @param expression operand
   * @param alias name of the result column
   */
  record SelectItem(String aggregate, Expression expression, String alias) {
    /** Returns whether this item stands for all columns. */
    public boolean all() {
      return aggregate.equals("*");
    }

    /** Returns whether this item is an aggregate over all rows. */
    public boolean isAggregate() {
      return !aggregate.isEmpty() && !all();
    }
  }

  /**
   * A statement with the owner named in its comment.
   *
   * @param statement statement
   * @param owner text of a comment {@code owner=...}; empty if there is none
   */
  record OwnedStatement(SqlStatement statement, String owner) {}
}
