package org.pollenspar.proxy.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.connection.SessionToken;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.HostState;
import org.pollenspar.core.request.Access;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.Rank;
import org.pollenspar.core.request.Statement;
import org.pollenspar.core.request.WorkKind;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.net.connection.PeerAddress;
import org.pollenspar.net.connection.PeerFailure;
import org.pollenspar.net.connection.PeerNetwork;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.proxy.process.FleetSnapshot;
import org.pollenspar.wire.Envelope;
import org.pollenspar.wire.OutcomeCode;
import org.pollenspar.wire.WorkResponseMessage;

/**
 * Guards against "not run" for a write that a home may have run although its answer was lost, and
 * against requests that fail although another home could run them.
 */
class ForwarderTest {
  private static final Rank RANK = new Rank(1, "urgent", 0, 10);

  private final ControlThread control = new ControlThread("control", e -> {});
  private final ScriptedPeers peers = new ScriptedPeers();
  private final Forwarder forwarder =
      new Forwarder(
          "entry",
          "z0",
          peers,
          new NoHomes(),
          control,
          new EntryMetrics(new MetricRegistry()),
          new Random(7));

  @AfterEach
  void close() {
    control.close();
  }

  private static FleetSnapshot fleet() {
    List<Host> hosts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      hosts.add(
          new Host(
              "p" + i,
              "127.0.0.1",
              1 + i,
              0,
              0,
              "z" + i,
              "r",
              HostRole.PROXY,
              HostState.LIVE,
              List.of()));
    }
    return new FleetSnapshot(Optional.empty(), new HostList(1, hosts));
  }

  private Outcome execute(Access access, long deadlineMillis) {
    WorkKind kind = new WorkKind("k", RANK, access, 0, false, deadlineMillis);
    long now = control.nowNanos();
    WorkRequest request =
        new WorkRequest(
            1,
            "ledger",
            kind,
            access == Access.WRITE ? Optional.of("key") : Optional.empty(),
            false,
            now,
            now + TimeUnit.MILLISECONDS.toNanos(deadlineMillis),
            "s",
            Position.ZERO,
            List.of(new Statement("SELECT 1", Statement.ANY_ROWS)));
    ParsedWork work = new ParsedWork(request, new SessionToken("s", Map.of()), 1);
    return forwarder.execute(work, fleet()).orTimeout(20, TimeUnit.SECONDS).join();
  }

  private static Envelope answer(OutcomeCode code) {
    return Envelope.newBuilder()
        .setWorkResponse(
            WorkResponseMessage.newBuilder()
                .setOutcome(code)
                .setServedBy("d0")
                .setRole("primary")
                .setErrorNumber(ErrorKind.QUEUE_FULL.number()))
        .build();
  }

  /**
   * A write whose answer was lost is sent on with the retry flag. Unless another home returns an
   * outcome, it ends as unknown and not as "not run".
   */
  @Nested
  class Writes {
    @Test
    void aLostHomeLeadsToARetryWithTheFlag() {
      peers.script.add(CompletableFuture.failedFuture(new PeerFailure("lost", true)));
      peers.script.add(CompletableFuture.completedFuture(answer(OutcomeCode.DONE)));
      assertInstanceOf(Outcome.Done.class, execute(Access.WRITE, 5_000));
      assertEquals(List.of(false, true), peers.retryFlags);
      assertEquals(2, peers.asked.stream().distinct().count());
    }

    @Test
    void aHomeThatWasNotReachedLeadsToTheNextWithoutTheFlag() {
      peers.script.add(CompletableFuture.failedFuture(new PeerFailure("refused", false)));
      peers.script.add(CompletableFuture.completedFuture(answer(OutcomeCode.NOT_HOME)));
      peers.script.add(CompletableFuture.completedFuture(answer(OutcomeCode.DONE)));
      assertInstanceOf(Outcome.Done.class, execute(Access.WRITE, 5_000));
      assertEquals(List.of(false, false, false), peers.retryFlags);
    }

    @Test
    void aLostHomeAndNoOtherIsUnknown() {
      peers.script.add(CompletableFuture.failedFuture(new PeerFailure("lost", true)));
      peers.otherwise = new PeerFailure("refused", false);
      Outcome.Unknown unknown = assertInstanceOf(Outcome.Unknown.class, execute(Access.WRITE, 300));
      assertEquals(ErrorKind.OUTCOME_UNKNOWN, unknown.error().kind());
    }

    @Test
    void noHomeAtAllIsNotRun() {
      peers.otherwise = new PeerFailure("refused", false);
      Outcome.NotRun notRun = assertInstanceOf(Outcome.NotRun.class, execute(Access.WRITE, 5_000));
      assertEquals(ErrorKind.NO_HOME, notRun.error().kind());
      assertTrue(notRun.retryAfterMillis() > 0);
    }

    @Test
    void aRefusalOfAHomeIsFinal() {
      peers.script.add(CompletableFuture.completedFuture(answer(OutcomeCode.NOT_RUN)));
      assertInstanceOf(Outcome.NotRun.class, execute(Access.WRITE, 5_000));
      assertEquals(1, peers.asked.size());
    }

    @Test
    void anAnswerThatBreaksTheProtocolCountsAsLost() {
      peers.script.add(CompletableFuture.completedFuture(answer(OutcomeCode.OUTCOME_UNSPECIFIED)));
      peers.script.add(CompletableFuture.completedFuture(answer(OutcomeCode.DONE)));
      assertInstanceOf(Outcome.Done.class, execute(Access.WRITE, 5_000));
      assertEquals(List.of(false, true), peers.retryFlags);
    }
  }

  /** A read whose answer was lost is sent on without the retry flag, since it changes nothing. */
  @Nested
  class Reads {
    @Test
    void aLostHomeLeadsToAnother() {
      peers.script.add(CompletableFuture.failedFuture(new PeerFailure("lost", true)));
      peers.script.add(CompletableFuture.completedFuture(answer(OutcomeCode.DONE)));
      assertInstanceOf(Outcome.Done.class, execute(Access.READ, 5_000));
      assertEquals(List.of(false, false), peers.retryFlags);
    }

    @Test
    void noHomeAtAllIsNotRun() {
      peers.otherwise = new PeerFailure("lost", true);
      assertInstanceOf(Outcome.NotRun.class, execute(Access.READ, 5_000));
    }
  }

  /** A peer network that gives the answers of a script, and then the same failure for ever. */
  private static final class ScriptedPeers implements PeerNetwork {
    final Deque<CompletableFuture<Envelope>> script = new ArrayDeque<>();
    final List<Boolean> retryFlags = new ArrayList<>();
    final List<String> asked = new ArrayList<>();
    PeerFailure otherwise = new PeerFailure("the script has ended", false);

    @Override
    public synchronized CompletableFuture<Envelope> request(
        PeerAddress to, Envelope.Builder body, Duration timeout) {
      retryFlags.add(body.getWorkRequest().getRetry());
      asked.add(to.hostId());
      CompletableFuture<Envelope> next = script.poll();
      return next == null ? CompletableFuture.failedFuture(otherwise) : next;
    }

    @Override
    public int port() {
      return 0;
    }

    @Override
    public long droppedResponses() {
      return 0;
    }

    @Override
    public void close() {}
  }

  /** A proxy without homes. */
  private static final class NoHomes implements LocalHomes {
    @Override
    public CompletableFuture<Optional<Outcome>> submit(WorkRequest request) {
      return CompletableFuture.completedFuture(Optional.empty());
    }

    @Override
    public int queueLength(String group) {
      return 0;
    }
  }
}
