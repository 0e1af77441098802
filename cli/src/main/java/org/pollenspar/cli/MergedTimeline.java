package org.pollenspar.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.TimelineEvent;

/**
 * The events of several processes in causal order, which is the order of their hybrid clock stamps.
 *
 * <p>Messages carry stamps, and a process gives each event a stamp greater than all stamps it has
 * received or given before. Every event therefore follows the events that caused it. Sorting by
 * wall clock time would not ensure this, because the clocks of two hosts can differ by more than
 * the time a message takes.
 *
 * @param events in causal order
 * @param errors one per process whose events are missing
 */
record MergedTimeline(List<TimelineEvent> events, List<PollensparError> errors) {
  private static final Comparator<TimelineEvent> ORDER =
      Comparator.comparing(TimelineEvent::stamp, Long::compareUnsigned)
          .thenComparing(TimelineEvent::process);
  private static final DateTimeFormatter TIME =
      DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

  /** Copies the lists. */
  MergedTimeline {
    events = List.copyOf(events);
    errors = List.copyOf(errors);
  }

  /** Merges answers, which have one JSON event per line. Lines that are no events are skipped. */
  static MergedTimeline of(Map<Target, Either<PollensparError, String>> answers) {
    List<TimelineEvent> events = new ArrayList<>();
    List<PollensparError> errors = new ArrayList<>();
    answers.forEach(
        (target, answer) ->
            answer
                .peekLeft(errors::add)
                .peek(
                    body -> body.lines().forEach(line -> parseEvent(line).ifPresent(events::add))));
    return new MergedTimeline(events.stream().distinct().sorted(ORDER).toList(), errors);
  }

  private static Optional<TimelineEvent> parseEvent(String line) {
    return Json.parse("timeline", line).toJavaOptional().flatMap(MergedTimeline::parseEvent);
  }

  private static Optional<TimelineEvent> parseEvent(JsonNode node) {
    if (!node.path("stamp").isIntegralNumber() || !node.path("kind").isTextual()) {
      return Optional.empty();
    }
    return Optional.of(
        new TimelineEvent(
            node.path("stamp").longValue(),
            node.path("process").asText(),
            node.path("kind").asText(),
            node.path("subject").asText(),
            node.path("detail").asText()));
  }

  String text() {
    TextTable table = new TextTable("TIME (UTC)", "PROCESS", "EVENT", "SUBJECT", "DETAIL");
    for (TimelineEvent event : events) {
      table.row(time(event), event.process(), event.kind(), event.subject(), event.detail());
    }
    return table.text();
  }

  String jsonLines() {
    StringBuilder text = new StringBuilder();
    for (TimelineEvent event : events) {
      text.append(
              Json.MAPPER
                  .createObjectNode()
                  .put("stamp", event.stamp())
                  .put("time", instant(event).toString())
                  .put("process", event.process())
                  .put("kind", event.kind())
                  .put("subject", event.subject())
                  .put("detail", event.detail()))
          .append('\n');
    }
    return text.toString();
  }

  static String time(TimelineEvent event) {
    return TIME.format(instant(event));
  }

  private static Instant instant(TimelineEvent event) {
    return Instant.ofEpochMilli(HybridClock.millis(event.stamp()));
  }
}
