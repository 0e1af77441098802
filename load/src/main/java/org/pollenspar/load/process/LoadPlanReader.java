package org.pollenspar.load.process;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.load.request.Check;
import org.pollenspar.load.request.KindPlan;
import org.pollenspar.load.request.StatementTemplate;

/** Reads a plan from a TOML file; an error names the file and the key. */
public final class LoadPlanReader {
  private static final Set<String> TOP_KEYS =
      Set.of(
          "groups",
          "sessions",
          "accounts",
          "opening_balance",
          "setup_kind",
          "verify_kind",
          "kinds",
          "phases");
  private static final Set<String> KIND_KEYS =
      Set.of("name", "kind", "rank", "check", "rate", "deadline_ms", "statements");
  private static final Set<String> STATEMENT_KEYS = Set.of("sql", "expect_rows");
  private static final Set<String> PHASE_KEYS = Set.of("name", "seconds", "multipliers");

  private static final int DEFAULT_SESSIONS = 60;
  private static final int DEFAULT_ACCOUNTS = 20;
  private static final long DEFAULT_BALANCE = 1_000_000;
  private static final int DEFAULT_DEADLINE_MILLIS = 1000;

  private final String file;

  private LoadPlanReader(String file) {
    this.file = file;
  }

  public static LoadPlan read(Path file) {
    try {
      JsonNode root = new TomlMapper().readTree(Files.readString(file));
      return new LoadPlanReader(file.toString()).plan(root);
    } catch (JacksonException e) {
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      throw PollensparError.of(ErrorKind.FILE_SYNTAX, file, line, e.getOriginalMessage())
          .asException();
    } catch (IOException e) {
      throw PollensparError.of(ErrorKind.FILE_UNREADABLE, file, String.valueOf(e)).asException();
    }
  }

  private LoadPlan plan(JsonNode root) {
    rejectUnknownKeys(root, TOP_KEYS);
    List<String> groups = new ArrayList<>();
    required(root, "groups").forEach(group -> groups.add(group.asText()));
    List<KindPlan> kinds = new ArrayList<>();
    required(root, "kinds").forEach(kind -> kinds.add(kind(kind)));
    List<LoadPlan.Phase> phases = new ArrayList<>();
    required(root, "phases").forEach(phase -> phases.add(phase(phase, kinds)));
    if (groups.isEmpty() || kinds.isEmpty() || phases.isEmpty()) {
      throw outOfRange("groups, kinds, phases", "empty", "at least one of each");
    }
    return new LoadPlan(
        groups,
        positive(root, "sessions", DEFAULT_SESSIONS),
        positive(root, "accounts", DEFAULT_ACCOUNTS),
        root.path("opening_balance").asLong(DEFAULT_BALANCE),
        required(root, "setup_kind").asText(),
        required(root, "verify_kind").asText(),
        kinds,
        phases);
  }

  private KindPlan kind(JsonNode node) {
    rejectUnknownKeys(node, KIND_KEYS);
    String name = required(node, "name").asText();
    Check check = check(required(node, "check").asText());
    List<StatementTemplate> statements = new ArrayList<>(check.statements());
    for (JsonNode statement : node.path("statements")) {
      rejectUnknownKeys(statement, STATEMENT_KEYS);
      statements.add(
          new StatementTemplate(
              required(statement, "sql").asText(),
              statement.path("expect_rows").asInt(StatementTemplate.ANY_ROWS)));
    }
    if (statements.isEmpty()) {
      throw PollensparError.of(ErrorKind.MISSING_KEY, file, name + ".statements").asException();
    }
    double rate = required(node, "rate").asDouble();
    if (!(rate > 0)) {
      throw outOfRange(name + ".rate", Double.toString(rate), "above 0");
    }
    return new KindPlan(
        name,
        node.path("kind").asText(name),
        positive(node, "rank", 1),
        check,
        rate,
        positive(node, "deadline_ms", DEFAULT_DEADLINE_MILLIS),
        statements);
  }

  private Check check(String name) {
    Optional<Check> check =
        Arrays.stream(Check.values()).filter(c -> c.planName().equals(name)).findFirst();
    String known = String.join(", ", Arrays.stream(Check.values()).map(Check::planName).toList());
    return check.orElseThrow(() -> outOfRange("check", name, known));
  }

  private LoadPlan.Phase phase(JsonNode node, List<KindPlan> kinds) {
    rejectUnknownKeys(node, PHASE_KEYS);
    Map<String, Double> multipliers = new HashMap<>();
    node.path("multipliers")
        .fields()
        .forEachRemaining(field -> multipliers.put(field.getKey(), field.getValue().asDouble()));
    for (String name : multipliers.keySet()) {
      if (kinds.stream().noneMatch(kind -> kind.name().equals(name))) {
        throw PollensparError.of(ErrorKind.DANGLING_NAME, file, "multipliers", name, "")
            .asException();
      }
    }
    double seconds = required(node, "seconds").asDouble();
    if (!(seconds > 0)) {
      throw outOfRange("seconds", Double.toString(seconds), "above 0");
    }
    return new LoadPlan.Phase(required(node, "name").asText(), seconds, multipliers);
  }

  private int positive(JsonNode node, String key, int defaultValue) {
    int value = node.path(key).asInt(defaultValue);
    if (value < 1) {
      throw outOfRange(key, Integer.toString(value), "1 or more");
    }
    return value;
  }

  private JsonNode required(JsonNode node, String key) {
    JsonNode value = node.get(key);
    if (value == null) {
      throw PollensparError.of(ErrorKind.MISSING_KEY, file, key).asException();
    }
    return value;
  }

  private void rejectUnknownKeys(JsonNode node, Set<String> known) {
    node.fieldNames()
        .forEachRemaining(
            name -> {
              if (!known.contains(name)) {
                String hint = "; known are " + String.join(", ", known.stream().sorted().toList());
                throw PollensparError.of(ErrorKind.UNKNOWN_KEY, file, name, hint).asException();
              }
            });
  }

  private RuntimeException outOfRange(String key, String value, String allowed) {
    return PollensparError.of(ErrorKind.OUT_OF_RANGE, file, key, value, allowed).asException();
  }
}
