package org.pollenspar.core.version;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.Access;
import org.pollenspar.core.request.Rank;
import org.pollenspar.core.request.WorkKind;

/**
 * Checks the parsed TOML tree of a fleet file against {@link FleetKey} and converts it. Collects
 * all errors instead of stopping at the first: a key with an error gets a substitute value so that
 * the check can go on, and the file is only created if there are no errors. An instance is used
 * once.
 */
final class FleetFileChecker {
  private static final int MAX_FLOOR_SUM_PERCENT = 50;

  /** Limited to these characters because names appear in addresses and metric labels. */
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_.-]{0,63}");

  private static final String NAME_RULE =
      "1 to 64 letters, digits, \".\", \"_\" or \"-\", starting with a letter or digit";

  private final String fileName;
  private final List<PollensparError> errors = new ArrayList<>();

  FleetFileChecker(String fileName) {
    this.fileName = fileName;
  }

  Either<List<PollensparError>, FleetFile> check(JsonNode root) {
    checkKnownKeys("", root, FleetKey.Table.ROOT);
    String deployment = text(root, "", FleetKey.DEPLOYMENT);
    long retention = integer(root, "", FleetKey.KEY_RETENTION_HOURS);
    long maxStatements = integer(root, "", FleetKey.MAX_STATEMENTS);
    Map<String, Rank> ranks = ranks(entries(root, FleetKey.Table.RANKS));
    Map<String, WorkKind> kinds = kinds(entries(root, FleetKey.Table.KINDS), ranks);
    Map<String, GroupSpec> groups = groups(entries(root, FleetKey.Table.GROUPS));
    if (!errors.isEmpty()) {
      return Either.left(List.copyOf(errors));
    }
    return Either.right(
        new FleetFile(deployment, groups, ranks, kinds, (int) retention, (int) maxStatements));
  }

  private Map<String, JsonNode> entries(JsonNode root, FleetKey.Table table) {
    JsonNode node = root.path(table.nameInFile());
    if (node.isMissingNode()) {
      error(ErrorKind.MISSING_KEY, table.nameInFile());
      return Map.of();
    }
    if (!node.isObject()) {
      error(ErrorKind.WRONG_TYPE, table.nameInFile(), "a table of named entries");
      return Map.of();
    }
    if (node.isEmpty()) {
      error(ErrorKind.MISSING_KEY, table.nameInFile() + ".NAME");
    }
    Map<String, JsonNode> entries = new HashMap<>();
    for (Map.Entry<String, JsonNode> entry : node.properties()) {
      String path = table.nameInFile() + "." + entry.getKey();
      checkName(path, entry.getKey());
      if (entry.getValue().isObject()) {
        checkKnownKeys(path + ".", entry.getValue(), table);
        entries.put(entry.getKey(), entry.getValue());
      } else {
        error(ErrorKind.WRONG_TYPE, path, "a table");
      }
    }
    return new TreeMap<>(entries);
  }

  private Map<String, Rank> ranks(Map<String, JsonNode> entries) {
    Map<String, Rank> ranks = new HashMap<>();
    Map<Long, String> levels = new HashMap<>();
    entries.forEach(
        (name, node) -> {
          String path = "ranks." + name + ".";
          long level = integer(node, path, FleetKey.RANK_LEVEL);
          long floor = integer(node, path, FleetKey.RANK_FLOOR);
          long queueLimit = integer(node, path, FleetKey.RANK_QUEUE_LIMIT);
          if (FleetKey.RANK_LEVEL.inRange(level) && levels.put(level, name) != null) {
            error(ErrorKind.DUPLICATE_NAME, path + "level = " + level);
          }
          ranks.put(name, new Rank((int) level, name, (int) floor, (int) queueLimit));
        });
    int floors = ranks.values().stream().mapToInt(Rank::floorPercent).sum();
    if (floors > MAX_FLOOR_SUM_PERCENT) {
      error(
          ErrorKind.OUT_OF_RANGE,
          "ranks.*.floor_percent",
          "a sum of " + floors,
          "0 to " + MAX_FLOOR_SUM_PERCENT + " percent over all ranks");
    }
    return ranks;
  }

  private Map<String, WorkKind> kinds(Map<String, JsonNode> entries, Map<String, Rank> ranks) {
    Map<String, WorkKind> kinds = new HashMap<>();
    entries.forEach(
        (name, node) -> {
          String path = "kinds." + name + ".";
          Optional<Rank> rank = rankOf(node, path, ranks);
          Optional<Access> access = access(node, path);
          long staleness = integer(node, path, FleetKey.KIND_STALENESS);
          boolean repeatable = bool(node, path, FleetKey.KIND_REPEATABLE);
          long deadline = integer(node, path, FleetKey.KIND_DEADLINE);
          if (access.equals(Optional.of(Access.WRITE)) && staleness > 0) {
            error(ErrorKind.OUT_OF_RANGE, path + "staleness_ms", staleness, "0 for a write");
          }
          rank.ifPresent(
              r ->
                  access.ifPresent(
                      a ->
                          kinds.put(
                              name, new WorkKind(name, r, a, staleness, repeatable, deadline))));
        });
    return kinds;
  }

  private Optional<Rank> rankOf(JsonNode node, String path, Map<String, Rank> ranks) {
    String name = text(node, path, FleetKey.KIND_RANK);
    Rank rank = ranks.get(name);
    if (rank == null && !name.isEmpty()) {
      String suggestion = NearestName.suggestion(name, ranks.keySet());
      error(ErrorKind.DANGLING_NAME, path + "rank", name, suggestion);
    }
    return Optional.ofNullable(rank);
  }

  private Optional<Access> access(JsonNode node, String path) {
    String name = text(node, path, FleetKey.KIND_ACCESS);
    Optional<Access> access =
        Arrays.stream(Access.values()).filter(a -> a.nameInFile().equals(name)).findFirst();
    if (access.isEmpty() && !name.isEmpty()) {
      error(ErrorKind.OUT_OF_RANGE, path + "access", quoted(name), "\"read\" or \"write\"");
    }
    return access;
  }

  private Map<String, GroupSpec> groups(Map<String, JsonNode> entries) {
    Map<String, GroupSpec> groups = new HashMap<>();
    Set<String> seen = new HashSet<>();
    entries.forEach(
        (name, node) -> {
          String path = "groups." + name + ".";
          List<String> databases = databases(node, path, seen);
          long connections = integer(node, path, FleetKey.GROUP_CONNECTIONS);
          groups.put(name, new GroupSpec(name, databases, (int) connections));
        });
    return groups;
  }

  private List<String> databases(JsonNode node, String path, Set<String> seen) {
    FleetKey key = FleetKey.GROUP_DATABASES;
    String keyPath = path + key.keyName();
    JsonNode value = node.path(key.keyName());
    if (value.isMissingNode()) {
      error(ErrorKind.MISSING_KEY, keyPath);
      return List.of();
    }
    if (!value.isArray() || !value.valueStream().allMatch(JsonNode::isTextual)) {
      error(ErrorKind.WRONG_TYPE, keyPath, key.type().description());
      return List.of();
    }
    List<String> databases = value.valueStream().map(JsonNode::textValue).toList();
    if (!key.inRange(databases.size()) || databases.size() % 2 == 0) {
      error(
          ErrorKind.OUT_OF_RANGE,
          keyPath,
          "a list of " + databases.size(),
          "an odd number, " + key.range());
    }
    for (String database : databases) {
      checkName(keyPath, database);
      if (!seen.add(database)) {
        error(ErrorKind.DUPLICATE_NAME, keyPath + ": " + database);
      }
    }
    return databases;
  }

  private void checkKnownKeys(String path, JsonNode node, FleetKey.Table table) {
    Stream<String> nested =
        table == FleetKey.Table.ROOT
            ? FleetKey.Table.named().stream().map(FleetKey.Table::nameInFile)
            : Stream.of();
    Set<String> known =
        Stream.concat(table.keys().stream().map(FleetKey::keyName), nested)
            .collect(Collectors.toSet());
    for (Map.Entry<String, JsonNode> entry : node.properties()) {
      if (!known.contains(entry.getKey())) {
        String suggestion = NearestName.suggestion(entry.getKey(), known);
        error(ErrorKind.UNKNOWN_KEY, path + entry.getKey(), suggestion);
      }
    }
  }

  private void checkName(String path, String name) {
    if (!NAME.matcher(name).matches()) {
      error(ErrorKind.OUT_OF_RANGE, path, quoted(name), NAME_RULE);
    }
  }

  /** Returns the value of a key of type text; after an error, an empty string. */
  private String text(JsonNode node, String path, FleetKey key) {
    JsonNode value = node.path(key.keyName());
    if (value.isMissingNode()) {
      error(ErrorKind.MISSING_KEY, path + key.keyName());
      return "";
    }
    if (!value.isTextual()) {
      error(ErrorKind.WRONG_TYPE, path + key.keyName(), key.type().description());
      return "";
    }
    String text = value.textValue();
    if (!key.inRange(text.length())) {
      String actual = text.length() + " characters long";
      error(ErrorKind.OUT_OF_RANGE, path + key.keyName(), actual, key.range());
      return "";
    }
    return text;
  }

  /** Returns the value of an integer key, or its default if absent; after an error, 0. */
  private long integer(JsonNode node, String path, FleetKey key) {
    JsonNode value = node.path(key.keyName());
    if (value.isMissingNode()) {
      if (key.required()) {
        error(ErrorKind.MISSING_KEY, path + key.keyName());
        return 0;
      }
      return key.defaultNumber();
    }
    if (!value.isIntegralNumber()) {
      error(ErrorKind.WRONG_TYPE, path + key.keyName(), key.type().description());
      return 0;
    }
    if (!value.canConvertToLong() || !key.inRange(value.longValue())) {
      error(ErrorKind.OUT_OF_RANGE, path + key.keyName(), value.asText(), key.range());
      return 0;
    }
    return value.longValue();
  }

  private boolean bool(JsonNode node, String path, FleetKey key) {
    JsonNode value = node.path(key.keyName());
    if (value.isMissingNode()) {
      return key.defaultBoolean();
    }
    if (!value.isBoolean()) {
      error(ErrorKind.WRONG_TYPE, path + key.keyName(), key.type().description());
    }
    return value.booleanValue();
  }

  private static String quoted(String text) {
    return "\"" + text + "\"";
  }

  private void error(ErrorKind kind, Object... arguments) {
    List<Object> all = new ArrayList<>();
    all.add(fileName);
    all.addAll(List.of(arguments));
    errors.add(PollensparError.of(kind, all.toArray()));
  }
}
