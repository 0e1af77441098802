package org.pollenspar.net.version;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.Closer;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.HostState;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.core.version.ConfigurationJson;
import org.pollenspar.core.version.ConfigurationVersion;
import org.pollenspar.core.version.FleetVersion;
import org.pollenspar.core.version.VersionHolder;
import org.pollenspar.net.connection.PeerAddress;
import org.pollenspar.net.connection.PeerFailure;
import org.pollenspar.net.connection.PeerNetwork;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.net.process.HostDirectory;
import org.pollenspar.net.process.KeyValueService;
import org.pollenspar.wire.Envelope;

/**
 * Guards against errors in how the gossip protocol is connected to threads, the platform and peers:
 * values that do not reach a process or replace newer ones, and a shutdown or isolation that is not
 * noticed.
 */
class FleetFeedTest {
  private static final String TEXT =
      """
      deployment = "d"
      [ranks.urgent]
      level = 1
      [kinds.redeem]
      rank = "urgent"
      access = "write"
      [groups.g]
      databases = ["a", "b", "c"]
      connections_per_database = 50
      """;

  private final Map<String, FleetFeed> feeds = new ConcurrentHashMap<>();
  private final InMemoryPlatform platform = new InMemoryPlatform();
  private final Closer closer = new Closer();
  private final AtomicInteger changes = new AtomicInteger();

  @AfterEach
  void close() {
    closer.close();
  }

  private FleetFeed feed(int index) {
    String id = "p" + index;
    ControlThread control = closer.register(new ControlThread(id, failure -> {}));
    FleetFeed feed =
        new FleetFeed(
            id,
            "d",
            platform.client(id),
            platform.client(id),
            new DirectNetwork(id),
            control,
            new Random(index),
            new Timeline(id, new HybridClock(System::currentTimeMillis), 100),
            new VersionHolder());
    feed.addListener(changes::incrementAndGet);
    feeds.put(id, closer.register(feed));
    feed.start();
    return feed;
  }

  @Test
  void reachesEveryProcessThoughOnlyTheWatchersCallThePlatform() {
    platform.listHosts(5);
    platform.configure(1);
    for (int i = 0; i < 5; i++) {
      feed(i);
    }
    await(() -> feeds.values().stream().allMatch(feed -> versionOf(feed) == 1));
    await(() -> feeds.values().stream().filter(FleetFeed::watching).count() == 2);
    Map<String, Integer> before = Map.copyOf(platform.calls);
    platform.configure(2);
    await(() -> feeds.values().stream().allMatch(feed -> versionOf(feed) == 2));
    feeds.forEach(
        (id, feed) -> {
          if (!feed.watching()) {
            assertEquals(before.get(id), platform.calls.get(id), id + " called the platform");
          }
        });
    await(() -> changes.get() >= 15);
    assertTrue(changes.get() >= 15, "listeners hear of two versions and of the host list");
  }

  @Test
  void startsFromAPeerWhileTheKeyValueServiceIsDown() {
    platform.listHosts(4);
    platform.configure(7);
    for (int i = 0; i < 3; i++) {
      feed(i);
    }
    await(() -> feeds.values().stream().allMatch(feed -> versionOf(feed) == 7));
    platform.keyValuesUp = false;
    FleetFeed late = feed(3);
    await(() -> versionOf(late) == 7);
    assertEquals("d", late.current().orElseThrow().file().deployment());
  }

  @Test
  void anOlderVersionOfThePlatformIsIgnored() throws InterruptedException {
    platform.listHosts(1);
    platform.configure(5);
    FleetFeed feed = feed(0);
    await(() -> versionOf(feed) == 5);
    platform.configure(4);
    Thread.sleep(300);
    assertEquals(5, versionOf(feed));
  }

  @Test
  void tellsPeersThatItLeaves() {
    platform.listHosts(2);
    feed(0);
    feed(1);
    await(() -> feeds.values().stream().allMatch(feed -> feed.hosts().hosts().size() == 2));
    feeds.get("p0").setLeaving(true);
    await(() -> feeds.get("p1").leavingPeers().equals(Set.of("p0")));
  }

  @Test
  void isIsolatedOnlyWithoutPlatformAndPeers() {
    platform.listHosts(2);
    FleetFeed feed = feed(0);
    feed(1);
    await(() -> feed.hosts().hosts().size() == 2);
    long later = System.nanoTime() + Duration.ofSeconds(11).toNanos();
    assertFalse(feed.isolated(System.nanoTime()));
    assertTrue(feed.isolated(later));
  }

  private static long versionOf(FleetFeed feed) {
    return feed.current().map(FleetVersion::version).orElse(0L);
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "condition not reached within 20 s");
      Thread.onSpinWait();
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Passes requests directly to the feeds of the test. */
  private final class DirectNetwork implements PeerNetwork {
    private final String own;

    DirectNetwork(String own) {
      this.own = own;
    }

    @Override
    public CompletableFuture<Envelope> request(
        PeerAddress to, Envelope.Builder body, Duration timeout) {
      FleetFeed feed = feeds.get(to.hostId());
      if (feed == null) {
        return CompletableFuture.failedFuture(new PeerFailure("no feed has this id", false));
      }
      Envelope request = Envelope.newBuilder().mergeFrom(body.build()).setSender(own).build();
      return feed.handle(request).toCompletableFuture().thenApply(Envelope.Builder::build);
    }

    @Override
    public int port() {
      return 1;
    }

    @Override
    public long droppedResponses() {
      return 0;
    }

    @Override
    public void close() {}
  }

  /** Holds the configuration and the host list in memory. */
  private static final class InMemoryPlatform {
    final Map<String, Integer> calls = new ConcurrentHashMap<>();
    volatile boolean keyValuesUp = true;
    private KeyValueService.StoredValue stored = new KeyValueService.StoredValue("", 0);
    private HostList hosts = HostList.EMPTY;

    synchronized void configure(long version) {
      ConfigurationVersion value =
          new ConfigurationVersion(
              version, "id", "test", ConfigurationVersion.hash(TEXT), TEXT, List.of());
      stored =
          new KeyValueService.StoredValue(ConfigurationJson.encode(value), stored.revision() + 1);
      notifyAll();
    }

    synchronized void listHosts(int count) {
      hosts =
          new HostList(
              hosts.revision() + 1,
              IntStream.range(0, count)
                  .mapToObj(
                      i ->
                          new Host(
                              "p" + i,
                              "127.0.0.1",
                              1,
                              1,
                              1,
                              "d",
                              "r",
                              HostRole.PROXY,
                              HostState.LIVE,
                              List.of()))
                  .toList());
      notifyAll();
    }

    InMemoryPlatformClient client(String caller) {
      return new InMemoryPlatformClient(this, caller);
    }

    private synchronized <T> Either<PollensparError, Optional<T>> await(
        BooleanSupplier newer, java.util.function.Supplier<T> value, Duration wait) {
      long end = System.nanoTime() + wait.toNanos();
      try {
        while (!newer.getAsBoolean() && System.nanoTime() < end) {
          wait(10);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return Either.right(newer.getAsBoolean() ? Optional.of(value.get()) : Optional.empty());
    }
  }

  /** Calls the platform for one feed and counts the calls. */
  private record InMemoryPlatformClient(InMemoryPlatform platform, String caller)
      implements KeyValueService, HostDirectory {
    @Override
    public Either<PollensparError, Optional<StoredValue>> read(String key, Duration timeout) {
      return watch(key, 0, Duration.ZERO);
    }

    @Override
    public Either<PollensparError, Optional<StoredValue>> watch(
        String key, long afterRevision, Duration wait) {
      platform.calls.merge(caller, 1, Integer::sum);
      if (!platform.keyValuesUp) {
        return Either.left(PollensparError.of(ErrorKind.PLATFORM_UNAVAILABLE, key, "down"));
      }
      return platform.await(
          () -> platform.stored.revision() > afterRevision, () -> platform.stored, wait);
    }

    @Override
    public Either<PollensparError, Optional<HostList>> watch(long afterRevision, Duration wait) {
      platform.calls.merge(caller, 1, Integer::sum);
      return platform.await(
          () -> platform.hosts.revision() > afterRevision, () -> platform.hosts, wait);
    }

    @Override
    public Either<PollensparError, SwapResult> compareAndSwap(
        String key, String value, long revision, Optional<String> leaseId, Duration timeout) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Either<PollensparError, String> createLease(Duration ttl, Duration timeout) {
      throw new UnsupportedOperationException();
    }
  }
}
