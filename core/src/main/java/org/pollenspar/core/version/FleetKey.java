package org.pollenspar.core.version;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The keys of the fleet file. Checks, suggestions for misspelt keys, defaults and the Markdown
 * reference are all derived from this table.
 *
 * <p>The range of a number limits its value, that of a text its length in characters and that of a
 * list its size.
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
      "How long idempotency records are kept. Within this time, a write can be retried with the"
          + " same key."),
  MAX_STATEMENTS(
      Table.ROOT,
      "max_statements",
      Type.INTEGER,
      1,
      256,
      "statements",
      "32",
      "Maximum number of statements in one transaction."),
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
      "Share of a database's capacity that is reserved for the rank while other ranks are"
          + " overloaded. The sum over all ranks is at most 50."),
  RANK_QUEUE_LIMIT(
      Table.RANKS,
      "queue_limit",
      Type.INTEGER,
      1,
      100_000,
      "requests",
      "1000",
      "Maximum number of requests of the rank that may wait at one home proxy for one group; those"
          + " for the primary and those for the replicas are counted separately."),
  KIND_RANK(
      Table.KINDS,
      "rank",
      Type.TEXT,
      1,
      64,
      "characters",
      null,
      "Name of the rank of this kind of work."),
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
      "Age up to which a read may miss writes of other sessions; writes of its own session are"
          + " always included. Must be 0 for a write."),
  KIND_REPEATABLE(
      Table.KINDS,
      "repeatable",
      Type.BOOLEAN,
      0,
      1,
      "",
      "false",
      "Whether a write may run twice without harm. If not, callers must send an idempotency key."),
  KIND_DEADLINE(
      Table.KINDS,
      "deadline_ms",
      Type.INTEGER,
      10,
      60_000,
      "milliseconds",
      "1000",
      "Deadline of requests that state none, and the longest deadline that a request may state."),
  GROUP_DATABASES(
      Table.GROUPS,
      "databases",
      Type.LIST,
      3,
      9,
      "names",
      null,
      "Ids of the group's databases at the platform. The number must be odd, since decisions need a"
          + " majority."),
  GROUP_CONNECTIONS(
      Table.GROUPS,
      "connections_per_database",
      Type.INTEGER,
      6,
      10_000,
      "connections",
      null,
      "Maximum number of connections that all proxies together may open to one database. Probes"
          + " use 3 of them and the rest is divided among 3 home proxies, so with fewer than 6 a"
          + " home proxy would have none.");

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

  /** The top level of the file and its tables. */
  enum Table {
    ROOT(""),
    RANKS("ranks"),
    KINDS("kinds"),
    GROUPS("groups");

    private final String nameInFile;

    Table(String nameInFile) {
      this.nameInFile = nameInFile;
    }

    /** Returns the name of the table in the file; empty for the top level. */
    String nameInFile() {
      return nameInFile;
    }

    List<FleetKey> keys() {
      return Arrays.stream(FleetKey.values()).filter(key -> key.table == this).toList();
    }

    /** Returns the tables whose entries have names that the operator chooses. */
    static List<Table> named() {
      return List.of(RANKS, KINDS, GROUPS);
    }
  }

  /** The type of a value. */
  enum Type {
    TEXT("a string"),
    INTEGER("an integer"),
    BOOLEAN("true or false"),
    LIST("a list of strings");

    private final String description;

    Type(String description) {
      this.description = description;
    }

    /** Returns the text for error messages and the reference. */
    String description() {
      return description;
    }
  }

  /** Returns the name of the key within its table. */
  public String keyName() {
    return keyName;
  }

  Type type() {
    return type;
  }

  /** Returns whether a value, length or size (depending on the type) is allowed. */
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

  /** Returns the default of an integer key that is not required. */
  long defaultNumber() {
    return Long.parseLong(Objects.requireNonNull(defaultText));
  }

  boolean defaultBoolean() {
    return Boolean.parseBoolean(defaultText);
  }

  /** Returns the reference of all keys as a Markdown table. */
  public static String markdownReference() {
    StringBuilder text = new StringBuilder("| key | type | range | default | meaning |\n");
    text.append("| --- | --- | --- | --- | --- |\n");
    for (FleetKey key : values()) {
      String prefix = key.table == Table.ROOT ? "" : key.table.nameInFile + ".NAME.";
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
