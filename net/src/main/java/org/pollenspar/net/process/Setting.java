package org.pollenspar.net.process;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * All settings. This table determines the check of settings files, {@code --help} and the reference
 * in {@code docs/SETTINGS.md}. The range of a text setting limits its length.
 */
public enum Setting {
  ID(both(), SettingType.NAME, null, 1, 64, "", "Id of this process in the host list."),
  ADDRESS(both(), SettingType.ADDRESS, null, 1, 64, "", "IP number to listen on."),
  HTTP_PORT(proxy(), SettingType.INTEGER, null, 1, 65_535, "", "Port for callers."),
  PEER_PORT(
      both(), SettingType.INTEGER, null, 1, 65_535, "", "Port for other processes of pollenspar."),
  ADMIN_PORT(both(), SettingType.INTEGER, null, 1, 65_535, "", "Port for operators."),
  DOMAIN(both(), SettingType.NAME, null, 1, 64, "", "Failure domain of this host."),
  REGION(both(), SettingType.NAME, null, 1, 64, "", "Region of this host."),
  PLATFORM_URL(both(), SettingType.URL, null, 1, 256, "", "Base URL of the platform's services."),
  SESSION_SECRET(
      proxy(),
      SettingType.TEXT,
      null,
      32,
      1024,
      "characters",
      "Secret that signs session tokens; the same on all proxies."),
  DRAIN_TIMEOUT_MS(
      proxy(),
      SettingType.INTEGER,
      "30000",
      0,
      30_000,
      "ms",
      "Longest time that a shutdown waits for work in progress."),
  DATABASE_USER(
      proxy(),
      SettingType.NAME,
      "pollenspar",
      1,
      63,
      "characters",
      "Role by which the databases know the proxies."),
  DATABASE_PASSWORD(
      proxy(),
      SettingType.TEXT,
      "",
      0,
      1024,
      "characters",
      "Password of that role; empty if none is needed."),
  DATABASE_NAME(
      proxy(),
      SettingType.NAME,
      "pollenspar",
      1,
      63,
      "characters",
      "Name of the PostgreSQL database on each backend server."),
  POLICY(
      proxy(),
      SettingType.POLICY,
      "standard",
      1,
      16,
      "",
      "Queueing and read routing: \"standard\", or \"baseline\" for comparisons."),
  LOG_FORMAT(
      both(), SettingType.LOG_FORMAT, "text", 1, 16, "", "Format of the log on standard error."),
  TIMELINE_CAPACITY(
      both(),
      SettingType.INTEGER,
      "4096",
      16,
      1_000_000,
      "events",
      "Events kept for /timeline; older ones are dropped.");

  @SuppressWarnings("ImmutableEnumChecker") // the sets are unmodifiable
  private final Set<ProgramName> programs;

  private final SettingType type;
  private final @Nullable String defaultText;
  private final long min;
  private final long max;
  private final String unit;
  private final String description;

  Setting(
      Set<ProgramName> programs,
      SettingType type,
      @Nullable String defaultText,
      long min,
      long max,
      String unit,
      String description) {
    this.programs = programs;
    this.type = type;
    this.defaultText = defaultText;
    this.min = min;
    this.max = max;
    this.unit = unit;
    this.description = description;
  }

  private static Set<ProgramName> both() {
    return Set.of(ProgramName.values());
  }

  private static Set<ProgramName> proxy() {
    return Set.of(ProgramName.PROXY);
  }

  public static List<Setting> of(ProgramName program) {
    return Arrays.stream(values()).filter(s -> s.programs.contains(program)).toList();
  }

  /** Returns the key in settings files. */
  public String key() {
    return name().toLowerCase(Locale.ROOT);
  }

  SettingType type() {
    return type;
  }

  /** Returns the default; empty if the setting is required. */
  Optional<String> defaultText() {
    return Optional.ofNullable(defaultText);
  }

  boolean numeric() {
    return type == SettingType.INTEGER;
  }

  boolean inRange(long value) {
    return value >= min && value <= max;
  }

  String range() {
    return min + " to " + max + (unit.isEmpty() ? "" : " " + unit);
  }

  /** Returns one line for {@code --help}. */
  String helpLine() {
    String range = numeric() || unit.equals("characters") ? ", " + range() : "";
    String presence = defaultText().map(d -> "default \"" + d + "\"").orElse("required");
    return "  %-18s %s (%s%s; %s)"
        .formatted(key(), description, type.description(), range, presence);
  }

  /** Returns one row of the Markdown reference. */
  String markdownRow() {
    String range = numeric() || unit.equals("characters") ? range() : "";
    String presence =
        defaultText().map(d -> d.isEmpty() ? "empty" : "`" + d + "`").orElse("required");
    return "| `%s` | %s | %s | %s | %s |"
        .formatted(key(), type.description(), range, presence, description);
  }
}
