package org.pollenspar.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.process.TimelineEvent;

/**
 * A self-contained HTML page with a chart and a table of the events of all processes. The chart has
 * one horizontal lane per process and one marker per event.
 *
 * <p>Later events are further right. The distance between two events grows with the time between
 * them, up to a limit: on a linear scale, a failover of two seconds would shrink to a few pixels
 * beside minutes without events. Lengths are in pixels.
 */
final class TimelinePage {
  private static final int LANE_HEIGHT = 34;
  private static final int TOP_MARGIN = 40;
  private static final int LEFT_MARGIN = 20;
  private static final int MARKER_RADIUS = 6;
  private static final int MIN_STEP_PIXELS = 9;
  private static final int MAX_STEP_PIXELS = 70;
  private static final double PIXELS_PER_MILLI = 0.25;
  private static final int MIN_LABEL_DISTANCE = 90;

  /** Colours that people with common forms of colour blindness can tell apart. */
  private static final List<String> COLOURS =
      List.of(
          "#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#7a5195", "#444444");

  private final List<TimelineEvent> events;
  private final List<String> processes;
  private final Map<String, Integer> kinds = new LinkedHashMap<>();
  private final List<Integer> positions = new ArrayList<>();

  private TimelinePage(List<TimelineEvent> events) {
    this.events = events;
    this.processes =
        List.copyOf(new TreeSet<>(events.stream().map(TimelineEvent::process).toList()));
    int x = LEFT_MARGIN;
    long previousMillis = events.isEmpty() ? 0 : HybridClock.millis(events.get(0).stamp());
    for (TimelineEvent event : events) {
      long currentMillis = HybridClock.millis(event.stamp());
      double step = MIN_STEP_PIXELS + (currentMillis - previousMillis) * PIXELS_PER_MILLI;
      x += (int) Math.min(MAX_STEP_PIXELS, step);
      previousMillis = currentMillis;
      positions.add(x);
      kinds.putIfAbsent(event.kind(), kinds.size());
    }
  }

  static String render(List<TimelineEvent> events) {
    return new TimelinePage(events).page();
  }

  private String page() {
    return """
    <!DOCTYPE html>
    <html lang="en"><head><meta charset="utf-8"><title>pollenspar timeline</title>
    <style>
    body { font: 14px/1.4 sans-serif; margin: 1.5em; color: #222; background: #fff; }
    .chart { display: flex; border: 1px solid #ccc; }
    .lanes { overflow-x: auto; flex: 1; }
    svg text { font: 12px sans-serif; fill: #333; }
    .legend span { display: inline-block; margin: 0 1.2em .4em 0; }
    table { border-collapse: collapse; margin-top: 1em; }
    td, th { text-align: left; padding: .15em .8em .15em 0; border-bottom: 1px solid #eee;
      vertical-align: top; }
    tr:target { background: #fff3c4; }
    </style></head><body>
    <h1>Timeline</h1>
    """
        + "<p>"
        + events.size()
        + " events of "
        + processes.size()
        + " processes, ordered by hybrid clock. Gaps are shortened; times are UTC. A marker links"
        + " to its row.</p>\n"
        + legend()
        + "<div class=\"chart\">"
        + processNames()
        + "<div class=\"lanes\">"
        + chart()
        + "</div></div>\n"
        + rows()
        + "</body></html>\n";
  }

  private String legend() {
    StringBuilder text = new StringBuilder("<p class=\"legend\">");
    kinds.forEach(
        (kind, index) ->
            text.append("<span><svg width=\"16\" height=\"14\">")
                .append(marker(kind, 8, 7))
                .append("</svg> ")
                .append(escape(kind))
                .append("</span>"));
    return text.append("</p>\n").toString();
  }

  private String processNames() {
    int longest = processes.stream().mapToInt(String::length).max().orElse(0);
    StringBuilder text = new StringBuilder(svgStart(longest * 8 + 16));
    for (int i = 0; i < processes.size(); i++) {
      text.append(
          "<text x=\"8\" y=\"%d\">%s</text>"
              .formatted(laneMiddle(i) + 4, escape(processes.get(i))));
    }
    return text.append("</svg>").toString();
  }

  private String chart() {
    int width =
        positions.isEmpty()
            ? LEFT_MARGIN
            : positions.get(positions.size() - 1) + MIN_LABEL_DISTANCE;
    StringBuilder text = new StringBuilder(svgStart(width));
    for (int i = 0; i < processes.size(); i++) {
      text.append(
          "<line x1=\"0\" x2=\"%d\" y1=\"%d\" y2=\"%d\" stroke=\"#ddd\"/>"
              .formatted(width, laneMiddle(i), laneMiddle(i)));
    }
    int lastLabel = -MIN_LABEL_DISTANCE;
    for (int i = 0; i < events.size(); i++) {
      TimelineEvent event = events.get(i);
      int x = positions.get(i);
      if (x - lastLabel >= MIN_LABEL_DISTANCE) {
        text.append(timeLabel(x, MergedTimeline.time(event)));
        lastLabel = x;
      }
      text.append("<a href=\"#e%d\"><title>%s</title>".formatted(i, escape(summary(event))))
          .append(marker(event.kind(), x, laneMiddle(processes.indexOf(event.process()))))
          .append("</a>\n");
    }
    return text.append("</svg>").toString();
  }

  private String timeLabel(int x, String time) {
    return ("<line x1=\"%d\" x2=\"%d\" y1=\"24\" y2=\"%d\" stroke=\"#eee\"/>"
            + "<text x=\"%d\" y=\"18\">%s</text>")
        .formatted(x, x, height(), x - 4, time);
  }

  /** When all colours are used, the next kinds get another shape, so that kinds differ. */
  private String marker(String kind, int x, int y) {
    int index = kinds.getOrDefault(kind, 0);
    String colour = COLOURS.get(index % COLOURS.size());
    int r = MARKER_RADIUS;
    return switch (index / COLOURS.size()) {
      case 0 -> "<circle cx=\"%d\" cy=\"%d\" r=\"%d\" fill=\"%s\"/>".formatted(x, y, r, colour);
      case 1 ->
          "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"%s\"/>"
              .formatted(x - r, y - r, 2 * r, 2 * r, colour);
      default ->
          "<path d=\"M%d %dl%d %dh%dz\" fill=\"%s\"/>"
              .formatted(x, y - r, r, 2 * r, -2 * r, colour);
    };
  }

  private String rows() {
    StringBuilder text =
        new StringBuilder(
            "<table><tr><th>Time</th><th>Process</th><th>Event</th><th>Subject</th>"
                + "<th>Detail</th></tr>\n");
    for (int i = 0; i < events.size(); i++) {
      TimelineEvent event = events.get(i);
      text.append("<tr id=\"e%d\">".formatted(i));
      List.of(
              MergedTimeline.time(event),
              event.process(),
              event.kind(),
              event.subject(),
              event.detail())
          .forEach(cell -> text.append("<td>").append(escape(cell)).append("</td>"));
      text.append("</tr>\n");
    }
    return text.append("</table>\n").toString();
  }

  private static String summary(TimelineEvent event) {
    return MergedTimeline.time(event)
        + " "
        + event.process()
        + ": "
        + event.kind()
        + " "
        + event.subject()
        + " "
        + event.detail();
  }

  private String svgStart(int width) {
    return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\">"
        .formatted(width, height());
  }

  private int height() {
    return TOP_MARGIN + LANE_HEIGHT * Math.max(1, processes.size());
  }

  private static int laneMiddle(int index) {
    return TOP_MARGIN + LANE_HEIGHT * index + LANE_HEIGHT / 2;
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
