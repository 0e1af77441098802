package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.CoordinationStore.Item;
import org.pollenspar.core.process.CoordinationStore.Reply;
import org.pollenspar.core.process.CoordinationStore.Status;
import org.pollenspar.core.process.WatchFleetModel.WatchingHost;

/**
 * Guards against events that a host doesn't receive, or receives too late, because another host
 * watches the store for it, and against calls to the store that grow with the hosts.
 */
class SharedWatchTest {
  private static final int HOSTS = 12;
  private static final long SEED = 20_261_206L;
  private static final int HISTORIES = 150;

  private WatchFleetModel model = new WatchFleetModel(new SplittableRandom(SEED), HOSTS);

  @BeforeEach
  void settle() {
    model.time.advance(10_000);
    model.ranges = 0;
    model.longestDelayMillis = 0;
    model.watchWaits.clear();
  }

  private void assertAllHostsAgreeWithTheStore() {
    assertEquals(List.of(), model.violations.stream().limit(3).toList());
    model.hosts.values().forEach(host -> assertEquals(model.items, host.state()));
  }

  @Nested
  class WithoutFaults {

    @Test
    void oneHostWatchesAndAllReceiveEachEventAtOnce() {
      for (int i = 0; i < 40; i++) {
        model.write("k" + i % 3, i % 5 == 0 ? "" : "v" + i);
        model.time.advance(500);
      }
      assertAllHostsAgreeWithTheStore();
      assertTrue(model.watchWaits.size() <= 45, "watches in 20 s: " + model.watchWaits.size());
      assertEquals(Set.of(WatchFleetModel.APPLY_MS / 4), Set.copyOf(model.watchWaits));
      assertTrue(model.longestDelayMillis <= 30, "delay in ms: " + model.longestDelayMillis);
      assertEquals(0, model.ranges);
    }

    @Test
    void eachHostOfASmallDomainWatchesForHalfOfTheTime() {
      model = new WatchFleetModel(new SplittableRandom(SEED), 7);
      settle();
      model.time.advance(15_000);
      assertEquals(Set.of(WatchFleetModel.APPLY_MS / 2), Set.copyOf(model.watchWaits));
      assertTrue(model.watchWaits.size() >= 7 * 9, "watches: " + model.watchWaits.size());
    }
  }

  @Nested
  class Failures {

    @Test
    void aWatcherThatIsPausedDelaysEventsByOneTimeout() {
      WatchingHost watcher = model.watcher();
      watcher.freeze(20_000);
      model.write("k", "v");
      model.time.advance(1_300);
      for (WatchingHost host : model.hosts.values()) {
        assertEquals(host != watcher, host.copy.containsKey("k"), host.member.name());
      }
      model.time.advance(25_000);
      assertAllHostsAgreeWithTheStore();
      assertEquals(0, model.ranges);
      assertEquals(0, model.watcher().watch.fallbacks());
    }

    /** Guards against followers that ask a silent watcher again and miss events meanwhile. */
    @Test
    void aWatcherThatStaysSilentDelaysEventsOnce() {
      WatchingHost watcher = model.watcher();
      model.kill(watcher);
      model.time.advance(1_300);
      model.longestDelayMillis = 0;
      for (int i = 0; i < 60; i++) {
        model.write("k", "v" + i);
        model.time.advance(500);
      }
      assertAllHostsAgreeWithTheStore();
      assertTrue(model.longestDelayMillis <= 60, "delay in ms: " + model.longestDelayMillis);
      model.hosts.values().forEach(host -> assertEquals(1, host.watch.fallbacks()));
    }

    @Test
    void aWatcherThatLeavesDeclinesAtOnce() {
      WatchingHost watcher = model.watcher();
      watcher.watch.leave();
      model.time.advance(10);
      model.write("k", "v");
      model.time.advance(30);
      assertAllHostsAgreeWithTheStore();
      assertEquals(0, watcher.watch.pollsWaiting());
      assertEquals(0, model.ranges);
    }

    @Test
    void followersOfAWatcherThatLosesTheStoreContinueFromTheirRevision() {
      WatchingHost watcher = model.watcher();
      model.cutOff(watcher);
      model.write("k", "v");
      model.time.advance(100);
      long informed = model.hosts.values().stream().filter(h -> h.copy.containsKey("k")).count();
      assertEquals(HOSTS - 1, informed);
      assertEquals(1, model.ranges, "only the watcher reads everything again");
      model.reconnect(watcher);
      model.time.advance(10_000);
      assertAllHostsAgreeWithTheStore();
      assertEquals(HOSTS - 1, model.watcher().watch.pollsWaiting());
    }

    @Test
    void everythingIsReadAgainOnlyIfTheStoreDroppedEventsThatAreMissing() {
      model.dropHistory();
      model.time.advance(10_000);
      assertEquals(1, model.ranges, "only the watcher, whose watch was ended");
      WatchingHost watcher = model.watcher();
      watcher.freeze(4_000);
      model.write("k", "");
      model.write("j", "v");
      model.dropHistory();
      model.time.advance(20_000);
      assertEquals(1 + HOSTS, model.ranges);
      assertAllHostsAgreeWithTheStore();
    }

    @Test
    void aWatchThatDeliversNothingEndsWithinTheBound() {
      model.deaf = true;
      model.write("k", "1");
      model.time.advance(100);
      model.deaf = false;
      model.write("k", "2");
      model.time.advance(WatchFleetModel.APPLY_MS / 2);
      assertAllHostsAgreeWithTheStore();
    }
  }

  @Nested
  class Polls {
    private final List<Reply> replies = new ArrayList<>();

    private void poll(long after) {
      model.watcher().watch.poll(after, 700, replies::add);
    }

    @Test
    void ofAFollowerThatIsAheadWaitForLaterEvents() {
      long revision = model.write("k", "1");
      model.time.advance(400);
      poll(revision + 1);
      model.write("k", "2");
      model.time.advance(300);
      assertEquals(List.of(), replies);
      model.write("k", "3");
      model.time.advance(300);
      assertEquals(List.of(new Item("k", "3", revision + 2, false)), replies.get(0).items());
    }

    @Test
    void acrossRevisionsWithoutEventsWaitAndEndWithoutItems() {
      long revision = model.write("k", "1");
      model.time.advance(400);
      model.skipRevisions(5);
      poll(revision);
      model.time.advance(800);
      assertEquals(List.of(new Reply(Status.DONE, List.of(), revision, 0)), replies);
    }

    @Test
    void fromBeforeTheHistoryAreDeclined() {
      long revision = model.write("k", "1");
      model.time.advance(400);
      for (int i = 0; i < 5_000; i++) {
        model.write("k", "");
      }
      model.time.advance(400);
      poll(revision);
      poll(revision + 5_000 - 4_096);
      assertEquals(Status.REFUSED, replies.get(0).status());
      assertEquals(4_096, replies.get(1).items().size());
      model.time.advance(10_000);
      assertAllHostsAgreeWithTheStore();
    }

    @Test
    void areDeclinedByAHostThatIsNotTheWatcher() {
      model.hosts.values().stream()
          .filter(host -> !host.watch.watchesForDomain())
          .forEach(host -> host.watch.poll(host.revisionOf("k"), 700, replies::add));
      assertEquals(HOSTS - 1, replies.stream().filter(r -> r.status() == Status.REFUSED).count());
    }
  }

  /** Guards against faults in combination; the seeds are fixed. */
  @Test
  void randomFaultsSkipNoEvent() {
    long longest = 0;
    long fallbacks = 0;
    long served = 0;
    for (int i = 0; i < HISTORIES; i++) {
      model = new WatchFleetModel(new SplittableRandom(SEED + i), 8 + i % 5);
      for (int step = 0; step < 120; step++) {
        disturb(step);
        model.time.advance(model.random.nextInt(400));
      }
      List.copyOf(model.hosts.values()).forEach(model::reconnect);
      model.time.advance(30_000);
      assertAllHostsAgreeWithTheStore();
      longest = Math.max(longest, model.longestDelayMillis);
      for (WatchingHost host : model.hosts.values()) {
        fallbacks += host.watch.fallbacks();
        served += host.watch.pollsServed();
      }
    }
    System.out.println(
        HISTORIES
            + " histories, longest delay of an undisturbed host "
            + longest
            + " ms, fallbacks "
            + fallbacks
            + ", polls served "
            + served);
    assertTrue(fallbacks > HISTORIES, "too few fallbacks in the histories: " + fallbacks);
    assertTrue(served > 100L * HISTORIES, "too few polls in the histories: " + served);
  }

  private void disturb(int step) {
    List<WatchingHost> all = List.copyOf(model.hosts.values());
    WatchingHost host = all.get(model.random.nextInt(all.size()));
    switch (model.random.nextInt(24)) {
      case 0 -> host.freeze(model.random.nextInt(6_000));
      case 1 -> model.cutOff(host);
      case 2, 3 -> all.forEach(model::reconnect);
      case 4 -> model.dropHistory();
      case 5 -> model.silenceWatches();
      case 6 -> model.skipRevisions(3);
      case 7 -> model.add("new" + step);
      case 8 -> {
        if (all.size() > 7) {
          model.kill(host);
          model.time.after(
              model.random.nextInt(6_000),
              () -> model.write(ControlKeys.member(host.member.name()), ""));
        }
      }
      case 9 -> host.watch.leave();
      default ->
          model.write(
              "k" + model.random.nextInt(6), model.random.nextInt(4) == 0 ? "" : "v" + step);
    }
  }
}
