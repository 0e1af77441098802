package org.pollenspar.core.version;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Every key of the applied file: the one table that drives checks, suggestions, defaults and the
 * Markdown reference.
 *
 * <p>A number's range limits its value, a text's range its length and a list's range its size.
 */
public enum FleetKey {
  DEPLOYMENT(
      Table.ROOT, "deployment", Type.TEXT, 1, 64, "characters", null, "Name of the deployment."),
  KEY_RETENTION_HOURS(
      Table.ROOT,
      "key_retention_hours",
      Type.INTEGER,
      1,
      168,
      "hours",
      "24",
      "How long idempotency records are kept; a key may be asked for again within this time."),
  MAX_STATEMENTS(
      Table.ROOT,
      "max_statements",
      Type.INTEGER,
      1,
      256,
      "statements",
      "32",
      "Most statements in one transaction."),
  RANK_LEVEL(
      Table.RANKS,
      "level",
      Type.INTEGER,
      1,
      9,
      "",
      null,
      "Urgency, unique among the ranks; 1 is the most urgent."),
  RANK_FLOOR(
      Table.RANKS,
      "floor_percent",
      Type.INTEGER,
      0,
      50,
      "percent",
      "0",
      "Share of a database's capacity that the rank keeps in a flood of other ranks. The sum over"
          + " all ranks is at most 50."),
  RANK_QUEUE_LIMIT(
      Table.RANKS,
      "queue_limit",
      Type.INTEGER,
      1,
      100_000,
      "requests",
      "1000",
      "Requests of the rank that may wait at one home for one group."),
  KIND_RANK(
      Table.KINDS, "rank", Type.TEXT, 1, 64, "characters", null, "Rank of the kind, by name."),
  KIND_ACCESS(
      Table.KINDS, "access", Type.TEXT, 1, 64, "characters", null, "\"read\" or \"write\"."),
  KIND_STALENESS(
      Table.KINDS,
      "staleness_ms",
      Type.INTEGER,
      0,
      86_400_000,
      "milliseconds",
      "0",
      "Age of data that a read accepts, beyond its session's own writes; 0 for a write."),
  KIND_REPEATABLE(
      Table.KINDS,
      "repeatable",
      Type.BOOLEAN,
      0,
      1,
      "",
      "false",
      "Whether a write may run twice without harm; if not, callers must send a key."),
  KIND_DEADLINE(
      Table.KINDS,
      "deadline_ms",
      Type.INTEGER,
      10,
      60_000,
      "milliseconds",
      "1000",
      "Deadline when the caller names none, and the most it may name."),
  GROUP_DATABASES(
      Table.GROUPS,
      "databases",
      Type.LIST,
      3,
      9,
      "names",
      null,
      "Ids of the group's databases at the platform; an odd number, since a majority decides."),
  GROUP_CONNECTIONS(
      Table.GROUPS,
      "connections_per_database",
      Type.INTEGER,
      6,
      10_000,
      "connections",
      null,
      "Most connections that all proxies together may open to one database. Three are used by"
          + " probes and the rest is divided among three homes, so fewer than 6 leave a home"
          + " none.");

  private final Table table;
  private final String keyName;
  private final Type type;
  private final long min;
  private final long max;
  private final String unit;
  private final @Nullable String defaultText;
  private final String description;

  FleetKey(
      Table table,
      String keyName,
      Type type,
      long min,
      long max,
      String unit,
      @Nullable String defaultText,
      String description) {
    this.table = table;
    this.keyName = keyName;
    this.type = type;
    this.min = min;
    this.max = max;
    this.unit = unit;
    this.defaultText = defaultText;
    this.description = description;
  }

  /** The tables of the file. */
  enum Table {
    ROOT(""),
    RANKS("ranks"),
    KINDS("kinds"),
    GROUPS("groups");

    private final String fileName;

    Table(String fileName) {
      this.fileName = fileName;
    }

    /** Returns the name in the file; empty for the top level. */
    String fileName() {
      return fileName;
    }

    /** Returns the keys of the table. */
    List<FleetKey> keys() {
      return Arrays.stream(FleetKey.values()).filter(key -> key.table == this).toList();
    }

    /** Returns the tables that hold named entries. */
    static List<Table> named() {
      return List.of(RANKS, KINDS, GROUPS);
    }
  }

  /** The types of values. */
  enum Type {
    TEXT("a string"),
    INTEGER("an integer"),
    BOOLEAN("true or false"),
    LIST("a list of strings");

    private final String description;

    Type(String description) {
      this.description = description;
    }

    /** Returns the type for error messages. */
    String description() {
      return description;
    }
  }

  /** Returns the key's name within its table. */
  public String keyName() {
    return keyName;
  }

  Type type() {
    return type;
  }

  /** Returns whether a value, length or size is allowed. */
  boolean inRange(long value) {
    return value >= min && value <= max;
  }

  /** Returns the allowed range with its unit. */
  String range() {
    return (min + " to " + max + " " + unit).strip();
  }

  boolean required() {
    return defaultText == null;
  }

  /** Returns the default as a number. */
  long defaultNumber() {
    return Long.parseLong(Objects.requireNonNull(defaultText));
  }

  /** Returns the default as a boolean. */
  boolean defaultBoolean() {
    return Boolean.parseBoolean(defaultText);
  }

  /** Returns the reference of all keys as a Markdown table. */
  public static String markdownReference() {
    StringBuilder text = new StringBuilder("| key | type | range | default | meaning |\n");
    text.append("| --- | --- | --- | --- | --- |\n");
    for (FleetKey key : values()) {
      String prefix = key.table == Table.ROOT ? "" : key.table.fileName + ".NAME.";
      String range = key.type == Type.BOOLEAN ? "" : key.range();
      String defaultValue = key.defaultText == null ? "required" : key.defaultText;
      text.append(
          "| `%s%s` | %s | %s | %s | %s |\n"
              .formatted(
                  prefix, key.keyName, key.type.description, range, defaultValue, key.description));
    }
    return text.toString();
  }
}
