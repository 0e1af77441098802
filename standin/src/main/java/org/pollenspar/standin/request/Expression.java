package org.pollenspar.standin.request;

import java.math.BigDecimal;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** An expression that is evaluated for one row. */
public sealed interface Expression {

  /** Returns the value for a row: a Long, BigDecimal, Boolean or String, or null. */
  @Nullable Object evaluate(RowView row) throws SqlException;

  /** A constant. */
  record Literal(@Nullable Object value) implements Expression {
    @Override
    public @Nullable Object evaluate(RowView row) {
      return value;
    }
  }

  /** The value of a column. */
  record ColumnReference(String name) implements Expression {
    @Override
    public @Nullable Object evaluate(RowView row) throws SqlException {
      return row.value(name);
    }
  }

  /** A value converted to a type. */
  record Cast(Expression operand, ColumnType type) implements Expression {
    @Override
    public @Nullable Object evaluate(RowView row) throws SqlException {
      return type.parse(ColumnType.format(operand.evaluate(row)));
    }
  }

  /** Arithmetic on two numbers ({@code + - *}), or concatenation of text ({@code |}). */
  record Arithmetic(char operator, Expression left, Expression right) implements Expression {
    @Override
    public @Nullable Object evaluate(RowView row) throws SqlException {
      Object a = left.evaluate(row);
      Object b = right.evaluate(row);
      if (a == null || b == null) {
        return null;
      }
      if (operator == '|') {
        return ColumnType.format(a) + ColumnType.format(b);
      }
      Object x = number(a);
      Object y = number(b);
      return x instanceof Long m && y instanceof Long n
          ? onLongs(m, n)
          : onDecimals(decimal(x), decimal(y));
    }

    private Object onLongs(long a, long b) throws SqlException {
      try {
        return switch (operator) {
          case '+' -> Math.addExact(a, b);
          case '-' -> Math.subtractExact(a, b);
          default -> Math.multiplyExact(a, b);
        };
      } catch (ArithmeticException e) {
        throw new SqlException("22003", "bigint out of range");
      }
    }

    private Object onDecimals(BigDecimal a, BigDecimal b) {
      return switch (operator) {
        case '+' -> a.add(b);
        case '-' -> a.subtract(b);
        default -> a.multiply(b);
      };
    }
  }

  /** A comparison of two values; unknown (null) if one of them is null. */
  record Comparison(String operator, Expression left, Expression right) implements Expression {
    @Override
    public @Nullable Object evaluate(RowView row) throws SqlException {
      Object a = left.evaluate(row);
      Object b = right.evaluate(row);
      if (a == null || b == null) {
        return null;
      }
      int order = compare(a, b);
      return switch (operator) {
        case "=" -> order == 0;
        case "<>", "!=" -> order != 0;
        case "<" -> order < 0;
        case "<=" -> order <= 0;
        case ">" -> order > 0;
        default -> order >= 0;
      };
    }
  }

  /** {@code operand IN (list)}; null if the operand is null. */
  record Membership(Expression operand, List<Expression> list) implements Expression {
    @Override
    public @Nullable Object evaluate(RowView row) throws SqlException {
      Object value = operand.evaluate(row);
      if (value == null) {
        return null;
      }
      for (Expression candidate : list) {
        Object other = candidate.evaluate(row);
        if (other != null && compare(value, other) == 0) {
          return true;
        }
      }
      return false;
    }
  }

  /** {@code IS NULL}, or {@code IS NOT NULL} if {@code wantNull} is false. */
  record NullTest(Expression operand, boolean wantNull) implements Expression {
    @Override
    public Object evaluate(RowView row) throws SqlException {
      return (operand.evaluate(row) == null) == wantNull;
    }
  }

  /** Returns whether every condition is true for the row; null counts as false. */
  static boolean holdAll(List<Expression> conditions, RowView row) throws SqlException {
    for (Expression condition : conditions) {
      if (!Boolean.TRUE.equals(condition.evaluate(row))) {
        return false;
      }
    }
    return true;
  }

  /** Compares two values; text compared with a number or boolean is converted to that type. */
  static int compare(Object a, Object b) throws SqlException {
    if (a instanceof Boolean || b instanceof Boolean) {
      Object x = ColumnType.BOOL.parse(ColumnType.format(a));
      return Boolean.compare(
          Boolean.TRUE.equals(x), ColumnType.BOOL.parse(ColumnType.format(b)) == Boolean.TRUE);
    }
    if (a instanceof String x && b instanceof String y) {
      return x.compareTo(y);
    }
    return decimal(number(a)).compareTo(decimal(number(b)));
  }

  private static Object number(Object value) throws SqlException {
    if (value instanceof Long || value instanceof BigDecimal) {
      return value;
    }
    Object parsed = ColumnType.NUMERIC.parse(ColumnType.format(value));
    if (parsed instanceof BigDecimal number
        && number.scale() == 0
        && number.toBigInteger().bitLength() < Long.SIZE) {
      return number.longValue();
    }
    return parsed == null ? 0L : parsed;
  }

  private static BigDecimal decimal(Object number) {
    return number instanceof BigDecimal big ? big : BigDecimal.valueOf((Long) number);
  }
}
