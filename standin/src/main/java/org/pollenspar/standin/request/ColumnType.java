package org.pollenspar.standin.request;

import java.math.BigDecimal;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * The column types of the table language, with their PostgreSQL object ids. SQL types without a
 * counterpart are mapped to the nearest one: dates, UUIDs and JSON to text.
 */
public enum ColumnType {
  INT4(23, 4),
  INT8(20, 8),
  NUMERIC(1700, -1),
  BOOL(16, 1),
  TEXT(25, -1);

  private final int oid;
  private final int size;

  ColumnType(int oid, int size) {
    this.oid = oid;
    this.size = size;
  }

  /** Returns the PostgreSQL object id that row descriptions carry. */
  public int oid() {
    return oid;
  }

  /** Returns the size in bytes that row descriptions carry; -1 for types of variable size. */
  public int size() {
    return size;
  }

  public static ColumnType ofSqlName(String name) throws SqlException {
    return switch (name.toLowerCase(Locale.ROOT)) {
      case "int", "int4", "integer", "smallint", "int2" -> INT4;
      case "int8", "bigint" -> INT8;
      case "numeric", "decimal", "float8", "float4", "real" -> NUMERIC;
      case "bool", "boolean" -> BOOL;
      case "text", "varchar", "char", "timestamptz", "timestamp", "date", "uuid", "json", "jsonb" ->
          TEXT;
      default -> throw new SqlException("42704", "type \"" + name + "\" does not exist");
    };
  }

  /** Parses the text form of a value to a Long, BigDecimal, Boolean or String. */
  public @Nullable Object parse(@Nullable String text) throws SqlException {
    if (text == null) {
      return null;
    }
    try {
      return switch (this) {
        case INT4, INT8 -> Long.valueOf(text.strip());
        case NUMERIC -> new BigDecimal(text.strip());
        case BOOL -> parseBoolean(text.strip().toLowerCase(Locale.ROOT));
        case TEXT -> text;
      };
    } catch (NumberFormatException e) {
      throw new SqlException(
          "22P02",
          "invalid input syntax for type "
              + name().toLowerCase(Locale.ROOT)
              + ": \""
              + text
              + "\"");
    }
  }

  private static Boolean parseBoolean(String text) throws SqlException {
    return switch (text) {
      case "t", "true", "1", "on", "yes" -> Boolean.TRUE;
      case "f", "false", "0", "off", "no" -> Boolean.FALSE;
      default -> throw new SqlException("22P02", "invalid input syntax for type boolean: " + text);
    };
  }

  /** Returns the text form in which a value is stored and sent. */
  public static @Nullable String format(@Nullable Object value) {
    if (value == null) {
      return null;
    }
    if (value instanceof Boolean flag) {
      return flag ? "t" : "f";
    }
    return value instanceof BigDecimal number ? number.toPlainString() : value.toString();
  }

  /** Returns the type of a computed value. */
  public static ColumnType ofValue(@Nullable Object value) {
    if (value instanceof Long) {
      return INT8;
    }
    if (value instanceof BigDecimal) {
      return NUMERIC;
    }
    return value instanceof Boolean ? BOOL : TEXT;
  }
}
