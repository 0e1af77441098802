package org.pollenspar.standin.request;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.pollenspar.standin.request.SqlLexer.Kind;
import org.pollenspar.standin.request.SqlLexer.Token;
import org.pollenspar.standin.request.SqlStatement.SelectItem;

/**
 * Recursive-descent parser of expressions, conditions and SELECT lists. Operators bind, from
 * weakest to strongest: comparison, {@code + - ||}, {@code *}, {@code ::}.
 */
final class ExpressionParser {
  private static final Set<String> COMPARISONS = Set.of("=", "<>", "!=", "<", "<=", ">", ">=");
  private static final Set<String> AGGREGATES = Set.of("count", "sum", "min", "max");

  private final TokenCursor cursor;

  ExpressionParser(TokenCursor cursor) {
    this.cursor = cursor;
  }

  /** Parses {@code WHERE a AND b ...}, if present. */
  List<Expression> where() throws SqlException {
    List<Expression> conditions = new ArrayList<>();
    if (cursor.accept("where")) {
      do {
        conditions.add(condition());
      } while (cursor.accept("and"));
    }
    return conditions;
  }

  /** Parses the items of a SELECT or RETURNING list. */
  List<SelectItem> items() throws SqlException {
    List<SelectItem> items = new ArrayList<>();
    do {
      items.add(item());
    } while (cursor.accept(","));
    return items;
  }

  /** Parses a parenthesised list of expressions, {@code (a, b, ...)}. */
  List<Expression> list() throws SqlException {
    List<Expression> list = new ArrayList<>();
    cursor.expect("(");
    do {
      list.add(expression());
    } while (cursor.accept(","));
    cursor.expect(")");
    return list;
  }

  private SelectItem item() throws SqlException {
    if (cursor.accept("*")) {
      return new SelectItem("*", new Expression.Literal(null), "*");
    }
    Token first = cursor.peek();
    boolean call = first.kind() == Kind.WORD && cursor.peekSecond().is("(");
    if (call && AGGREGATES.contains(first.text())) {
      cursor.take();
      cursor.expect("(");
      Expression operand = cursor.accept("*") ? new Expression.Literal(1L) : expression();
      cursor.expect(")");
      return new SelectItem(first.text(), operand, alias(first.text()));
    }
    Expression expression = expression();
    String name = expression instanceof Expression.ColumnReference c ? c.name() : "?column?";
    return new SelectItem("", expression, alias(name));
  }

  private String alias(String name) throws SqlException {
    return cursor.accept("as") ? cursor.name() : name;
  }

  private Expression condition() throws SqlException {
    Expression left = expression();
    Token operator = cursor.peek();
    if (COMPARISONS.contains(operator.text()) && operator.kind() == Kind.SYMBOL) {
      cursor.take();
      return new Expression.Comparison(operator.text(), left, expression());
    }
    if (cursor.accept("in")) {
      return new Expression.Membership(left, list());
    }
    if (cursor.accept("is")) {
      boolean wantNull = !cursor.accept("not");
      cursor.expect("null");
      return new Expression.NullTest(left, wantNull);
    }
    return left;
  }

  Expression expression() throws SqlException {
    Expression left = term();
    while (true) {
      if (cursor.accept("+")) {
        left = new Expression.Arithmetic('+', left, term());
      } else if (cursor.accept("-")) {
        left = new Expression.Arithmetic('-', left, term());
      } else if (cursor.accept("||")) {
        left = new Expression.Arithmetic('|', left, term());
      } else {
        return left;
      }
    }
  }

  private Expression term() throws SqlException {
    Expression left = factor();
    while (cursor.accept("*")) {
      left = new Expression.Arithmetic('*', left, factor());
    }
    return left;
  }

  private Expression factor() throws SqlException {
    Expression value = primary();
    while (cursor.accept("::")) {
      value = new Expression.Cast(value, ColumnType.ofSqlName(cursor.name()));
    }
    return value;
  }

  private Expression primary() throws SqlException {
    if (cursor.accept("(")) {
      Expression inner = condition();
      cursor.expect(")");
      return inner;
    }
    if (cursor.accept("-")) {
      return new Expression.Arithmetic('-', new Expression.Literal(0L), factor());
    }
    Token token = cursor.peek();
    if (token.kind() == Kind.STRING) {
      return new Expression.Literal(cursor.take().text());
    }
    if (token.kind() == Kind.NUMBER) {
      return new Expression.Literal(number(cursor.take().text()));
    }
    if (cursor.accept("null")) {
      return new Expression.Literal(null);
    }
    if (token.is("true") || token.is("false")) {
      return new Expression.Literal(cursor.take().is("true"));
    }
    return reference();
  }

  private Expression reference() throws SqlException {
    String name = cursor.qualifiedName();
    if (cursor.accept("(")) {
      cursor.expect(")");
      if (name.equals("version")) {
        return new Expression.Literal("PostgreSQL 15.0 (pollenspar stand-in)");
      }
      throw new SqlException("42883", "function " + name + "() does not exist");
    }
    return new Expression.ColumnReference(name.substring(name.lastIndexOf('.') + 1));
  }

  private static Object number(String text) {
    BigDecimal value = new BigDecimal(text);
    return value.scale() == 0 && value.toBigInteger().bitLength() < Long.SIZE
        ? (Object) value.longValue()
        : value;
  }
}
