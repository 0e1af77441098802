package org.pollenspar.standin.request;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** A parsed statement. */
public sealed interface SqlStatement {

  /** Returns whether the statement changes data or locks rows, which only a primary allows. */
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

  /** INSERT ... VALUES; an empty list of columns stands for all columns in their order. */
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

  /** SELECT; {@code table} is null if there is no FROM. */
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

  /**
   * SELECT * FROM pollenspar.state(nonce) or pollenspar.wait_state(nonce, afterOffset,
   * timeoutMillis); a timeout of 0 returns the state at once.
   */
  record StateQuery(String nonce, long afterOffset, long timeoutMillis) implements SqlStatement {}

  /** BEGIN, COMMIT or ROLLBACK. */
  record Control(Verb verb, boolean readOnly) implements SqlStatement {
    /** The transaction command. */
    public enum Verb {
      BEGIN,
      COMMIT,
      ROLLBACK
    }
  }

  /** SET, which is accepted and has no effect. */
  record Setting() implements SqlStatement {}

  /** SHOW of one server setting. */
  record Show(String name) implements SqlStatement {}

  /** Assignment of a new value to a column in an UPDATE. */
  record Assignment(String column, Expression value) {}

  /** ORDER BY one column. */
  record Order(String column, boolean descending) {}

  /**
   * One item of a SELECT list.
   *
   * @param aggregate count, sum, min or max; empty for a plain expression; {@code *} for all
   *     columns
   * @param expression operand of the aggregate, or the plain expression
   * @param alias name of the result column
   */
  record SelectItem(String aggregate, Expression expression, String alias) {
    public boolean all() {
      return aggregate.equals("*");
    }

    public boolean isAggregate() {
      return !aggregate.isEmpty() && !all();
    }
  }

  /**
   * A statement with its owner, the caller on whose behalf it runs.
   *
   * @param statement the parsed statement
   * @param owner value of the comment {@code owner=...}; empty if there is none
   */
  record OwnedStatement(SqlStatement statement, String owner) {}
}
