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
 * The status reports of all queried processes, formatted as tables or JSON.
 *
 * @param processes one entry per process, whether it answered or not
 */
record FleetStatus(List<ProcessStatus> processes) {
  private static final String PLACEHOLDER = "-";

  /** Copies the list. */
  FleetStatus {
    processes = List.copyOf(processes);
  }

  /**
   * The status report of one process.
   *
   * @param target process that was queried
   * @param report answer to {@code /status}, or the error if there is no usable answer
   */
  record ProcessStatus(Target target, Either<PollensparError, JsonNode> report) {
    String fieldText(String field) {
      JsonNode value = report.map(node -> node.path(field)).getOrElse(Json.MAPPER::nullNode);
      return value.isValueNode() && !value.isNull() ? value.asText() : PLACEHOLDER;
    }

    /** Returns the reports on the groups of which the process is a home, by group name. */
    Map<String, JsonNode> groups() {
      Map<String, JsonNode> groups = new TreeMap<>();
      for (Map.Entry<String, JsonNode> entry : objectField("groups").properties()) {
        groups.put(entry.getKey(), entry.getValue());
      }
      return groups;
    }

    private JsonNode objectField(String field) {
      return report.map(node -> node.path(field)).getOrElse(Json.MAPPER::createObjectNode);
    }

    /** Returns the violated invariants with the number of violations, such as {@code P2:1}. */
    String violations() {
      List<String> violated = new ArrayList<>();
      for (Map.Entry<String, JsonNode> entry : objectField("invariants").properties()) {
        long count = entry.getValue().path("violations").asLong();
        if (count > 0) {
          violated.add(entry.getKey() + ":" + count);
        }
      }
      return String.join(" ", violated);
    }

    long queued() {
      return groups().values().stream().mapToLong(group -> QueuedRequests.of(group).total()).sum();
    }
  }

  /**
   * Numbers of requests that wait at one or more homes of a group.
   *
   * @param byRank requests that wait for a connection to a database, by rank
   * @param parked requests that wait because no database can serve them yet
   */
  private record QueuedRequests(Map<String, Long> byRank, long parked) {
    static QueuedRequests of(JsonNode group) {
      Map<String, Long> byRank = new TreeMap<>();
      for (String queue : List.of("primary_queue", "replica_queue")) {
        for (Map.Entry<String, JsonNode> rank : group.path(queue).properties()) {
          byRank.merge(rank.getKey(), rank.getValue().asLong(), Long::sum);
        }
      }
      return new QueuedRequests(byRank, group.path("parked").asLong());
    }

    QueuedRequests plus(QueuedRequests other) {
      Map<String, Long> sum = new TreeMap<>(byRank);
      other.byRank.forEach((rank, count) -> sum.merge(rank, count, Long::sum));
      return new QueuedRequests(sum, parked + other.parked);
    }

    long total() {
      return parked + byRank.values().stream().mapToLong(Long::longValue).sum();
    }

    String text() {
      StringBuilder text = new StringBuilder();
      byRank.forEach((rank, count) -> text.append(rank).append(':').append(count).append(' '));
      return text.append("parked:").append(parked).toString();
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
      String role = target.role().isEmpty() ? process.fieldText("role") : target.role();
      table.row(
          target.id(),
          role,
          orPlaceholder(target.domain()),
          orPlaceholder(target.hostState()),
          process.report().isRight() ? process.fieldText("state") : "no answer",
          process.fieldText("config_version"),
          process.report().isRight() ? String.valueOf(process.queued()) : PLACEHOLDER,
          orPlaceholder(process.violations()));
    }
    return table.text() + "\n" + groupTable();
  }

  private String groupTable() {
    Map<String, GroupRow> rows = new TreeMap<>();
    for (ProcessStatus process : processes) {
      process
          .groups()
          .forEach(
              (name, group) ->
                  rows.merge(name, GroupRow.of(process.target().id(), group), GroupRow::plus));
    }
    TextTable table = new TextTable("GROUP", "PRIMARY", "TERM", "QUEUED", "HOMES");
    rows.forEach(
        (name, row) ->
            table.row(
                name,
                row.primary().orElse(PLACEHOLDER),
                String.valueOf(row.term()),
                row.queued().text(),
                row.homes()));
    return table.text();
  }

  private static String orPlaceholder(String text) {
    return text.isEmpty() ? PLACEHOLDER : text;
  }

  /**
   * One group, merged from the reports of its homes. The primary is the one that was reported with
   * the highest term; homes that have not learned of a failover yet report an older one.
   */
  private record GroupRow(
      Optional<String> primary, long term, QueuedRequests queued, String homes) {
    static GroupRow of(String home, JsonNode group) {
      Optional<String> primary =
          Optional.of(group.path("primary")).filter(JsonNode::isTextual).map(JsonNode::asText);
      return new GroupRow(primary, group.path("term").asLong(), QueuedRequests.of(group), home);
    }

    GroupRow plus(GroupRow other) {
      boolean newer = other.term > term || (other.term == term && primary.isEmpty());
      return new GroupRow(
          newer ? other.primary : primary,
          Math.max(term, other.term),
          queued.plus(other.queued),
          homes + " " + other.homes);
    }
  }
}
