package org.pollenspar.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.core.process.TimelineEvent;

/**
 * Guards against an event that is shown before its cause, which happens if events are sorted by the
 * wall clocks of hosts, and against HTML pages that are broken by the text of an event.
 */
class MergedTimelineTest {
  private static Target target(String id) {
    return new Target(id, "127.0.0.1", 1, "proxy", "d", "live");
  }

  private static String lines(List<TimelineEvent> events) {
    return new MergedTimeline(events, List.of()).jsonLines();
  }

  @Test
  void causesPrecedeEffectsDespiteClockSkew() {
    Random random = new Random(7);
    long[] wall = {1_000_000};
    List<Timeline> processes = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      long skew = random.nextInt(60_000);
      processes.add(new Timeline("p" + i, new HybridClock(() -> wall[0] + skew), 1_000));
    }
    for (int message = 0; message < 500; message++) {
      wall[0] += random.nextInt(3);
      Timeline from = processes.get(random.nextInt(4));
      Timeline to = processes.get(random.nextInt(4));
      TimelineEvent sent = from.record("sent", String.valueOf(message), "");
      to.clock().observe(sent.stamp());
      to.record("received", String.valueOf(message), "");
    }
    Map<Target, Either<PollensparError, String>> answers = new LinkedHashMap<>();
    for (int i = 3; i >= 0; i--) {
      answers.put(target("p" + i), Either.right(lines(processes.get(i).snapshot())));
    }
    List<TimelineEvent> merged = MergedTimeline.of(answers).events();
    assertEquals(1_000, merged.size());
    List<String> sent = new ArrayList<>();
    for (TimelineEvent event : merged) {
      if (event.kind().equals("sent")) {
        sent.add(event.subject());
      } else {
        assertTrue(sent.contains(event.subject()), "effect before cause: " + event);
      }
    }
  }

  @Test
  void skipsMalformedLinesAndReportsUnavailableProcesses() {
    PollensparError unavailable = PollensparError.of(ErrorKind.PEER_UNAVAILABLE, "p2", "refused");
    Map<Target, Either<PollensparError, String>> answers = new LinkedHashMap<>();
    answers.put(target("p1"), Either.right("garbage\n{\"stamp\":\"x\"}\n[]\n\n"));
    answers.put(target("p2"), Either.left(unavailable));
    MergedTimeline merged = MergedTimeline.of(answers);
    assertEquals(List.of(), merged.events());
    assertEquals(List.of(unavailable), merged.errors());
  }

  @Test
  void pageEscapesTextAndDrawsEveryEvent() {
    List<TimelineEvent> events = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      events.add(new TimelineEvent((1_000L + i) << 16, "p" + i % 3, "k" + i, "s", "<script>\"&"));
    }
    String page = TimelinePage.render(events);
    assertFalse(page.contains("<script"));
    assertFalse(
        page.contains("http://") && page.replace("http://www.w3.org/", "").contains("src="));
    for (int i = 0; i < 30; i++) {
      assertTrue(page.contains("href=\"#e" + i + "\"") && page.contains("id=\"e" + i + "\""));
    }
    assertTrue(TimelinePage.render(List.of()).contains("0 events"));
  }
}
