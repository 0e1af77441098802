package org.pollenspar.standin.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pollenspar.standin.request.SqlLexer.Kind;
import org.pollenspar.standin.request.SqlStatement.Assignment;
import org.pollenspar.standin.request.SqlStatement.Control;
import org.pollenspar.standin.request.SqlStatement.Order;
import org.pollenspar.standin.request.SqlStatement.OwnedStatement;
import org.pollenspar.standin.request.SqlStatement.SelectItem;

/**
 * Parses the statements of a simple query. As in PostgreSQL, the whole text is parsed before the
 * first statement is executed, so after a syntax error none is.
 */
public final class SqlParser {
  private final TokenCursor cursor;
  private final ExpressionParser expressions;

  private SqlParser(TokenCursor cursor) {
    this.cursor = cursor;
    this.expressions = new ExpressionParser(cursor);
  }

  /** Parses a query text; empty statements are omitted. */
  public static List<OwnedStatement> parse(String sql) throws SqlException {
    List<OwnedStatement> statements = new ArrayList<>();
    String owner = "";
    List<SqlLexer.Token> tokens = new ArrayList<>();
    for (SqlLexer.Token token : SqlLexer.tokens(sql)) {
      if (token.kind() == Kind.OWNER) {
        owner = token.text();
      } else if (!token.is(";") && token.kind() != Kind.END) {
        tokens.add(token);
      } else {
        if (!tokens.isEmpty()) {
          tokens.add(new SqlLexer.Token(Kind.END, ""));
          statements.add(
              new OwnedStatement(new SqlParser(new TokenCursor(tokens)).statement(), owner));
        }
        tokens = new ArrayList<>();
        owner = "";
      }
    }
    return statements;
  }

  private SqlStatement statement() throws SqlException {
    SqlStatement statement =
        switch (cursor.take().text()) {
          case "select" -> select();
          case "insert" -> insert();
          case "update" -> update();
          case "delete" -> delete();
          case "create" -> createTable();
          case "begin", "start" -> control(Control.Verb.BEGIN);
          case "commit", "end" -> control(Control.Verb.COMMIT);
          case "rollback", "abort" -> control(Control.Verb.ROLLBACK);
          case "set", "reset", "discard", "deallocate" -> setting();
          case "show" -> show();
          default -> throw new SqlException("42601", "unknown statement");
        };
    if (!cursor.atStatementEnd()) {
      throw cursor.unexpected();
    }
    return statement;
  }

  private SqlStatement control(Control.Verb verb) throws SqlException {
    boolean readOnly = false;
    while (!cursor.atStatementEnd()) {
      String word = cursor.take().text();
      if (word.equals("to") || word.equals("prepared")) {
        throw new SqlException("0A000", "savepoints and two-phase commit are not supported");
      }
      readOnly |= word.equals("only");
    }
    return new Control(verb, readOnly);
  }

  private SqlStatement setting() {
    while (!cursor.atStatementEnd()) {
      cursor.take();
    }
    return new SqlStatement.Setting();
  }

  private SqlStatement show() {
    StringBuilder name = new StringBuilder();
    while (!cursor.atStatementEnd()) {
      name.append(name.isEmpty() ? "" : " ").append(cursor.take().text());
    }
    return new SqlStatement.Show(name.toString());
  }

  private SqlStatement select() throws SqlException {
    List<SelectItem> items = expressions.items();
    if (!cursor.accept("from")) {
      return new SqlStatement.Select(items, null, List.of(), Optional.empty(), 1, false);
    }
    String table = cursor.qualifiedName();
    if (cursor.accept("(")) {
      return stateQuery(table);
    }
    List<Expression> conditions = expressions.where();
    Optional<Order> order = Optional.empty();
    if (cursor.accept("order")) {
      cursor.expect("by");
      String column = cursor.name();
      boolean descending = cursor.accept("desc");
      cursor.accept("asc");
      order = Optional.of(new Order(column, descending));
    }
    long limit = cursor.accept("limit") ? cursor.integer() : Long.MAX_VALUE;
    boolean forUpdate = cursor.accept("for");
    if (forUpdate) {
      cursor.expect("update");
    }
    return new SqlStatement.Select(items, table, conditions, order, limit, forUpdate);
  }

  private SqlStatement stateQuery(String function) throws SqlException {
    String nonce = constant();
    long after = 0;
    long timeout = 0;
    if (function.equals("pollenspar.wait_state")) {
      cursor.expect(",");
      after = integerConstant();
      cursor.expect(",");
      timeout = integerConstant();
    } else if (!function.equals("pollenspar.state")) {
      throw new SqlException("42883", "function " + function + " does not exist");
    }
    cursor.expect(")");
    return new SqlStatement.StateQuery(nonce, after, timeout);
  }

  private String constant() throws SqlException {
    return String.valueOf(ColumnType.format(expressions.expression().evaluate(RowView.EMPTY)));
  }

  private long integerConstant() throws SqlException {
    return ColumnType.INT8.parse(constant()) instanceof Long value ? value : 0;
  }

  private SqlStatement insert() throws SqlException {
    cursor.expect("into");
    String table = cursor.qualifiedName();
    List<String> columns = new ArrayList<>();
    if (cursor.accept("(")) {
      do {
        columns.add(cursor.name());
      } while (cursor.accept(","));
      cursor.expect(")");
    }
    cursor.expect("values");
    List<List<Expression>> rows = new ArrayList<>();
    do {
      rows.add(expressions.list());
    } while (cursor.accept(","));
    boolean ignoreConflict = cursor.accept("on");
    if (ignoreConflict) {
      onConflict();
    }
    return new SqlStatement.Insert(table, columns, rows, ignoreConflict, returning());
  }

  private void onConflict() throws SqlException {
    cursor.expect("conflict");
    if (cursor.accept("(")) {
      cursor.name();
      cursor.expect(")");
    }
    cursor.expect("do");
    cursor.expect("nothing");
  }

  private SqlStatement update() throws SqlException {
    String table = cursor.qualifiedName();
    cursor.expect("set");
    List<Assignment> assignments = new ArrayList<>();
    do {
      String column = cursor.name();
      cursor.expect("=");
      assignments.add(new Assignment(column, expressions.expression()));
    } while (cursor.accept(","));
    return new SqlStatement.Update(table, assignments, expressions.where(), returning());
  }

  private SqlStatement delete() throws SqlException {
    cursor.expect("from");
    String table = cursor.qualifiedName();
    return new SqlStatement.Delete(table, expressions.where(), returning());
  }

  private List<SelectItem> returning() throws SqlException {
    return cursor.accept("returning") ? expressions.items() : List.of();
  }

  private SqlStatement createTable() throws SqlException {
    cursor.expect("table");
    boolean ifNotExists = cursor.accept("if");
    if (ifNotExists) {
      cursor.expect("not");
      cursor.expect("exists");
    }
    String table = cursor.qualifiedName();
    cursor.expect("(");
    List<Column> columns = new ArrayList<>();
    do {
      columns.add(column());
    } while (cursor.accept(","));
    cursor.expect(")");
    return new SqlStatement.CreateTable(table, ifNotExists, columns);
  }

  private Column column() throws SqlException {
    String name = cursor.name();
    ColumnType type = ColumnType.ofSqlName(cursor.name());
    boolean primaryKey = false;
    int depth = 0;
    while (depth > 0 || !(cursor.peek().is(",") || cursor.peek().is(")"))) {
      SqlLexer.Token token = cursor.take();
      if (token.kind() == Kind.END) {
        throw cursor.unexpected();
      }
      depth += token.is("(") ? 1 : token.is(")") ? -1 : 0;
      primaryKey |= token.is("primary") && cursor.accept("key");
    }
    return new Column(name, type, primaryKey);
  }
}
