package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.request.PreparedShape;

/**
 * Guards against limits that callers can evade, that close the wrong connections, or that leave a
 * connection unread for ever.
 */
class CallerBackpressureTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int LARGE = 300 << 10;

  private final CallerBackpressure backpressure =
      new CallerBackpressure(new CallerBackpressure.Limits(1 << 20, 3, 30_000, 10_000));
  private final List<String> closed = new ArrayList<>();

  /** A connection that records the decisions. */
  private final class Caller implements CallerBackpressure.Connection {
    private final String name;
    private final CallerBackpressure.Usage usage;
    private boolean reading = true;

    Caller(String name, long now) {
      this.name = name;
      usage = backpressure.open(this, now);
    }

    @Override
    public void reading(boolean wanted) {
      reading = wanted;
    }

    @Override
    public void closeNow(CallerBackpressure.CloseCause cause, long bytes) {
      closed.add(name + " " + cause.label());
    }
  }

  @Nested
  class BufferedBytes {
    @Test
    void theLargestConnectionsAreClosedUntilTheSumIsBelowTheLimit() {
      Caller small = new Caller("small", 0);
      Caller middle = new Caller("middle", 0);
      Caller large = new Caller("large", 0);
      middle.usage.queued(400 << 10, 0);
      large.usage.sessionState(500 << 10);
      assertEquals(List.of(), closed);
      small.usage.input(100 << 10, 0, 0, 0);
      assertEquals(List.of("large buffered_bytes"), closed);
      small.usage.written(450 << 10, 0);
      assertEquals(List.of("large buffered_bytes", "small buffered_bytes"), closed);
      assertEquals((400 << 10) + 256, backpressure.bufferedBytes());
    }

    /** Guards against callers that are closed for the rows of another one's answer. */
    @Test
    void holdersOfMoreBytesAreClosedBeforeCallers() {
      Caller caller = new Caller("caller", 0);
      CallerBackpressure.HeldBytes rows = backpressure.holder(() -> closed.add("rows"));
      caller.usage.queued(400 << 10, 0);
      rows.add(500 << 10);
      backpressure.forwarded(200 << 10);
      assertEquals(List.of("rows"), closed);
      rows.add(1);
      assertEquals((600 << 10) + 256, backpressure.bufferedBytes());
      assertFalse(backpressure.admitsForwarded(400 << 10));
      assertTrue(backpressure.admitsForwarded(300 << 10));
      backpressure.forwarded(300 << 10);
      assertFalse(backpressure.admitsForwarded(100 << 10));
      assertEquals(List.of("rows"), closed);
    }

    @Test
    void theSumIsZeroOnceEverythingIsReleased() {
      Caller caller = new Caller("caller", 0);
      caller.usage.input(10, 20, 1, 0);
      caller.usage.queued(100, 0);
      caller.usage.written(1_000, 0);
      caller.usage.sessionState(50);
      assertTrue(backpressure.bufferedBytes() > 0);
      caller.usage.input(0, 0, 0, 0);
      caller.usage.answered(100, 0);
      caller.usage.sent(1_000, 0);
      caller.usage.sessionState(0);
      assertEquals(0, backpressure.bufferedBytes());
    }

    /** Guards against a sum that shrinks below the truth, as writes fail after the close. */
    @Test
    void aClosedConnectionIsNotCountedAgain() {
      Caller first = new Caller("first", 0);
      Caller second = new Caller("second", 0);
      first.usage.written(1_000, 0);
      second.usage.queued(100, 0);
      first.usage.closed();
      first.usage.closed();
      first.usage.sent(1_000, 0);
      first.usage.input(5, 0, 0, 0);
      assertEquals(356, backpressure.bufferedBytes());
    }
  }

  @Nested
  class Reading {
    @Test
    void stopsWithManyUnansweredStatementsAndGoesOnWellBeforeThereAreNone() {
      Caller caller = new Caller("caller", 0);
      for (int i = 1; i < CallerBackpressure.MAX_UNANSWERED; i++) {
        caller.usage.queued(10, 0);
      }
      assertTrue(caller.reading);
      caller.usage.queued(10, 0);
      assertFalse(caller.reading);
      assertEquals(1, backpressure.suspended());
      while (caller.usage.unanswered() > CallerBackpressure.RESUME_UNANSWERED + 1) {
        caller.usage.answered(10, 0);
      }
      assertFalse(caller.reading);
      caller.usage.answered(10, 0);
      assertTrue(caller.reading);
      assertEquals(0, backpressure.suspended());
      assertEquals(1, backpressure.suspensions());
    }

    @Test
    void stopsWithManyUnreadAnswersAndGoesOnAtTheLowMark() {
      Caller caller = new Caller("caller", 0);
      caller.usage.written(100 << 10, 0);
      caller.usage.written(100 << 10, 0);
      assertTrue(caller.reading);
      caller.usage.written(100 << 10, 0);
      assertFalse(caller.reading);
      caller.usage.sent(100 << 10, 0);
      caller.usage.sent(100 << 10, 0);
      assertFalse(caller.reading);
      caller.usage.sent(100 << 10, 0);
      assertTrue(caller.reading);
    }

    @Test
    void aClosedConnectionIsNotSuspended() {
      Caller caller = new Caller("caller", 0);
      caller.usage.written(LARGE, 0);
      caller.usage.closed();
      assertEquals(0, backpressure.suspended());
    }
  }

  @Nested
  class Overdue {
    @Test
    void unreadAnswersCloseOnlyIfTheyDontDrainInTime() {
      Caller slow = new Caller("slow", 0);
      Caller other = new Caller("other", 0);
      slow.usage.written(LARGE, 0);
      other.usage.written(LARGE, 0);
      other.usage.sent(LARGE, 9 * SECOND);
      other.usage.written(LARGE, 9 * SECOND);
      backpressure.closeOverdue(10 * SECOND - 1);
      assertEquals(List.of(), closed);
      backpressure.closeOverdue(10 * SECOND);
      assertEquals(List.of("slow unread_answers"), closed);
    }

    /** Guards against a caller that reads one answer at a time and so stays above the mark. */
    @Test
    void readingSomeAnswersDoesntExtendTheTime() {
      Caller slow = new Caller("slow", 0);
      slow.usage.written(LARGE, 0);
      slow.usage.written(LARGE, SECOND);
      slow.usage.sent(LARGE, 9 * SECOND);
      backpressure.closeOverdue(10 * SECOND);
      assertEquals(List.of("slow unread_answers"), closed);
    }

    /** Guards against a connection that waits for ever for its last answer to be read. */
    @Test
    void aClosingConnectionDrainsInTimeWhateverItsSize() {
      Caller caller = new Caller("caller", 0);
      caller.usage.written(10, 0);
      caller.usage.closing(0);
      backpressure.closeOverdue(10 * SECOND);
      assertEquals(List.of("caller unread_answers"), closed);
    }

    /** Guards against a sender whose every byte counts as progress. */
    @Test
    void theTimeForAMessageIsNotExtendedByItsParts() {
      Caller caller = new Caller("caller", 0);
      for (int i = 0; i < 30; i++) {
        caller.usage.input(i + 1, 0, 0, i * SECOND);
        backpressure.closeOverdue(i * SECOND);
      }
      assertEquals(List.of(), closed);
      backpressure.closeOverdue(30 * SECOND);
      assertEquals(List.of("caller incomplete_message"), closed);
    }

    @Test
    void eachMessageHasItsOwnTime() {
      Caller caller = new Caller("caller", 0);
      caller.usage.input(5, 0, 0, 0);
      caller.usage.messageCompleted();
      caller.usage.input(5, 0, 0, 20 * SECOND);
      backpressure.closeOverdue(49 * SECOND);
      assertEquals(List.of(), closed);
      caller.usage.input(0, 0, 0, 49 * SECOND);
      backpressure.closeOverdue(100 * SECOND);
      assertEquals(List.of(), closed);
    }

    /** Guards against closing a caller whose rest was not read because of the host. */
    @Test
    void aMessageIsNotOverdueWhileReadingIsStopped() {
      Caller caller = new Caller("caller", 0);
      for (int i = 0; i < CallerBackpressure.MAX_UNANSWERED; i++) {
        caller.usage.queued(10, 0);
      }
      caller.usage.input(5, 0, 0, 0);
      backpressure.closeOverdue(40 * SECOND);
      for (int i = 0; i < CallerBackpressure.MAX_UNANSWERED; i++) {
        caller.usage.answered(10, 40 * SECOND);
      }
      backpressure.closeOverdue(69 * SECOND);
      assertEquals(List.of(), closed);
      backpressure.closeOverdue(70 * SECOND);
      assertEquals(List.of("caller incomplete_message"), closed);
    }
  }

  @Nested
  class Connections {
    @Test
    void furtherConnectionsAreRefusedAtTheLimit() {
      Caller first = new Caller("first", 0);
      first.usage.sessionState(0);
      new Caller("second", 0).usage.sessionState(0);
      new Caller("third", 0).usage.sessionState(0);
      assertNull(new Caller("fourth", 100 * SECOND).usage);
      assertEquals(List.of(), closed);
      first.usage.closed();
      assertNotNull(new Caller("fifth", 100 * SECOND).usage);
    }

    /** Guards against connections without a session that keep all others out. */
    @Test
    void aConnectionWithoutASessionMakesRoomAfterAWhile() {
      new Caller("session", 0).usage.sessionState(0);
      new Caller("silent", 0);
      new Caller("recent", 20 * SECOND);
      assertNull(new Caller("early", 29 * SECOND).usage);
      assertNotNull(new Caller("late", 30 * SECOND).usage);
      assertEquals(List.of("silent connections"), closed);
      assertNull(new Caller("next", 31 * SECOND).usage);
    }
  }

  /** Guards against session values of which only the first or last is counted. */
  @Test
  void sessionStateCountsWhatItHoldsNow() {
    SessionState state = new SessionState();
    state.set("a", "x".repeat(100));
    long once = state.bytes();
    state.set("a", "x".repeat(50));
    assertEquals(once - 50, state.bytes());
    state.set("b", "");
    assertTrue(state.bytes() > once - 50);
    var shape = new PreparedShape(false, "q".repeat(30));
    long before = state.bytes();
    state.prepare("s", shape);
    long prepared = state.bytes();
    assertTrue(prepared >= before + 31);
    state.prepare("s", shape);
    assertEquals(prepared, state.bytes());
    assertTrue(state.close("s"));
    assertFalse(state.close("s"));
    assertEquals(before, state.bytes());
    state.replaceValues(Map.of("a", "x".repeat(100)));
    assertEquals(once, state.bytes());
  }
}
