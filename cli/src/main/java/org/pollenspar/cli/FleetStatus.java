package org.pollenspar.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.pollenspar.core.process.PollensparError;

/**
 * The reports of all processes.
 *
 * @param processes one entry per process
 */
record FleetStatus(List<ProcessStatus> processes) {
  private static final String NONE = "-";

  /** Copies the list. */
  FleetStatus {
    processes = List.copyOf(processes);
  }

  /**
   * The report of a process.
   *
   * @param target the process
   * @param report its report, or why there is none
   */
  record ProcessStatus(Target target, Either<PollensparError, JsonNode> report) {
    String text(String field) {
      JsonNode value = report.map(node -> node.path(field)).getOrElse(Json.MAPPER::nullNode);
      return value.isValueNode() && !value.isNull() ? value.asText() : NONE;
    }

    Iterable<JsonNode> groups() {
      return report.map(node -> node.path("groups")).getOrElse(Json.MAPPER::createArrayNode);
    }

    /** Returns the invariants with violations, for example {@code P2:1}. */
    String violations() {
      List<String> violated = new ArrayList<>();
      report
          .map(node -> node.path("invariants"))
          .getOrElse(Json.MAPPER::createObjectNode)
          .properties()
          .forEach(
              entry -> {
                if (entry.getValue().asLong() > 0) {
                  violated.add(entry.getKey() + ":" + entry.getValue().asLong());
                }
              });
      return String.join(" ", violated);
    }

    long queued() {
      long sum = 0;
      for (JsonNode group : groups()) {
        sum += group.path("queued").asLong();
      }
      return sum;
    }
  }

  static FleetStatus of(Map<Target, Either<PollensparError, String>> answers) {
    List<ProcessStatus> processes = new ArrayList<>();
    answers.forEach(
        (target, answer) ->
            processes.add(
                new ProcessStatus(target, answer.flatMap(body -> Json.parse(target.id(), body)))));
    return new FleetStatus(processes);
  }

  List<PollensparError> errors() {
    return processes.stream()
        .filter(process -> process.report().isLeft())
        .map(process -> process.report().getLeft())
        .toList();
  }

  /** Returns whether every process answered and no invariant was violated. */
  boolean healthy() {
    return processes.stream().allMatch(p -> p.report().isRight() && p.violations().isEmpty());
  }

  JsonNode json() {
    ObjectNode root = Json.MAPPER.createObjectNode();
    root.put("healthy", healthy());
    var list = root.putArray("processes");
    for (ProcessStatus process : processes) {
      Target target = process.target();
      ObjectNode node =
          list.addObject()
              .put("id", target.id())
              .put("role", target.role())
              .put("domain", target.domain())
              .put("host_state", target.hostState());
      process
          .report()
          .peek(report -> node.set("status", report))
          .peekLeft(error -> node.put("error", error.message()));
    }
    return root;
  }

  String table() {
    TextTable table =
        new TextTable(
            "PROCESS", "ROLE", "DOMAIN", "LIST", "STATE", "VERSION", "QUEUED", "VIOLATED");
    for (ProcessStatus process : processes) {
      Target target = process.target();
      String role = target.role().isEmpty() ? process.text("role") : target.role();
      table.row(
          target.id(),
          role,
          orNone(target.domain()),
          orNone(target.hostState()),
          process.report().isRight() ? process.text("state") : "no answer",
          process.text("config_version"),
          process.report().isRight() ? String.valueOf(process.queued()) : NONE,
          orNone(process.violations()));
    }
    return table.text() + "\n" + groupTable();
  }

  private String groupTable() {
    Map<String, GroupRow> rows = new TreeMap<>();
    for (ProcessStatus process : processes) {
      for (JsonNode group : process.groups()) {
        if (group.path("home").asBoolean(false)) {
          String name = group.path("group").asText(NONE);
          rows.merge(name, GroupRow.of(process.target().id(), group), GroupRow::plus);
        }
      }
    }
    TextTable table = new TextTable("GROUP", "PRIMARY", "TERM", "QUEUED", "HOMES");
    rows.forEach(
        (name, row) ->
            table.row(
                name,
                row.primary().orElse(NONE),
                String.valueOf(row.term()),
                String.valueOf(row.queued()),
                row.homes()));
    return table.text();
  }

  private static String orNone(String text) {
    return text.isEmpty() ? NONE : text;
  }

  /** What the homes of a group report; the report with the highest term names the primary. */
  private record GroupRow(Optional<String> primary, long term, long queued, String homes) {
    static GroupRow of(String home, JsonNode group) {
      Optional<String> primary =
          Optional.of(group.path("primary")).filter(JsonNode::isTextual).map(JsonNode::asText);
      return new GroupRow(
          primary, group.path("term").asLong(), group.path("queued").asLong(), home);
    }

    GroupRow plus(GroupRow other) {
      boolean newer = other.term > term || other.term == term && primary.isEmpty();
      return new GroupRow(
          newer ? other.primary : primary,
          Math.max(term, other.term),
          queued + other.queued,
          homes + " " + other.homes);
    }
  }
}
