package org.pollenspar.core.version;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The difference of two fleet files in meaning. Comments, the order of keys, and defaults that are
 * written out make no difference.
 *
 * @param changes one entry per key that differs, ordered by path
 */
public record FleetDiff(List<Change> changes) {

  public FleetDiff {
    changes = List.copyOf(changes);
  }

  /**
   * A key whose value differs.
   *
   * @param path full name of the key, for example {@code ranks.urgent.level}
   * @param before value in the first file; empty if absent
   * @param after value in the second file; empty if absent
   */
  public record Change(String path, String before, String after) {

    /** Returns the change as one line that starts with + (added), - (removed) or ~ (changed). */
    public String line() {
      if (before.isEmpty()) {
        return "+ " + path + " = " + after;
      }
      return after.isEmpty()
          ? "- " + path + " = " + before
          : "~ " + path + ": " + before + " -> " + after;
    }
  }

  public static FleetDiff between(FleetFile before, FleetFile after) {
    Map<String, String> oldValues = flatten(before);
    Map<String, String> newValues = flatten(after);
    TreeSet<String> paths = new TreeSet<>(oldValues.keySet());
    paths.addAll(newValues.keySet());
    return new FleetDiff(
        paths.stream()
            .filter(path -> !Objects.equals(oldValues.get(path), newValues.get(path)))
            .map(p -> new Change(p, oldValues.getOrDefault(p, ""), newValues.getOrDefault(p, "")))
            .toList());
  }

  /** Returns the difference of a file to no file: all of its keys are added. */
  public static FleetDiff added(FleetFile file) {
    return new FleetDiff(
        flatten(file).entrySet().stream()
            .map(entry -> new Change(entry.getKey(), "", entry.getValue()))
            .toList());
  }

  /** Returns whether the files have the same meaning. */
  public boolean isEmpty() {
    return changes.isEmpty();
  }

  private static TreeMap<String, String> flatten(FleetFile file) {
    TreeMap<String, String> keys = new TreeMap<>();
    keys.put("deployment", file.deployment());
    keys.put("key_retention_hours", String.valueOf(file.keyRetentionHours()));
    keys.put("max_statements", String.valueOf(file.maxStatements()));
    file.ranks()
        .forEach(
            (name, rank) -> {
              String path = "ranks." + name + ".";
              keys.put(path + "level", String.valueOf(rank.level()));
              keys.put(path + "floor_percent", String.valueOf(rank.floorPercent()));
              keys.put(path + "queue_limit", String.valueOf(rank.queueLimit()));
            });
    file.kinds()
        .forEach(
            (name, kind) -> {
              String path = "kinds." + name + ".";
              keys.put(path + "rank", kind.rank().name());
              keys.put(path + "access", kind.access().nameInFile());
              keys.put(path + "staleness_ms", String.valueOf(kind.stalenessMillis()));
              keys.put(path + "repeatable", String.valueOf(kind.repeatable()));
              keys.put(path + "deadline_ms", String.valueOf(kind.deadlineMillis()));
            });
    file.groups()
        .forEach(
            (name, group) -> {
              String path = "groups." + name + ".";
              keys.put(path + "databases", String.join(", ", group.databases()));
              keys.put(
                  path + "connections_per_database",
                  String.valueOf(group.connectionsPerDatabase()));
            });
    return keys;
  }
}
