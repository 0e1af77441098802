package org.pollenspar.core.version;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.HostState;

/**
 * Simulates a fleet that runs {@link GossipProtocol} in virtual time, with message loss, restarts,
 * platform outages and a network partition between two regions; the platform is in region 0. Checks
 * for every adopted value that it is newer than the one before it in the same process.
 */
final class GossipSimulation {
  static final long MILLI = 1_000_000L;
  private static final int DOMAINS = 4;

  final List<Node> nodes = new ArrayList<>();
  double loss;
  boolean platformUp = true;
  boolean regionCut;
  long messages;
  long platformCalls;
  private final Random random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<GossipValueKind, GossipValue> platform = new EnumMap<>(GossipValueKind.class);
  private long now;
  private long sequence;

  GossipSimulation(int count, long seed) {
    this.random = new Random(seed);
    for (int i = 0; i < count; i++) {
      nodes.add(new Node(i));
    }
    publishHosts();
    nodes.forEach(Node::start);
  }

  /** A scheduled task; the sequence number keeps the order of tasks with equal times. */
  private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  long nowMillis() {
    return now / MILLI;
  }

  void after(long nanos, Runnable task) {
    events.add(new Event(now + nanos, sequence++, task));
  }

  void run(long millis) {
    long end = now + millis * MILLI;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.remove();
      now = event.at();
      event.task().run();
    }
    now = end;
  }

  /**
   * Runs until every live node holds the platform's configuration or the limit is reached; returns
   * the milliseconds that passed.
   */
  long millisUntilConverged(long limitMillis) {
    long start = now;
    while (!converged() && now - start < limitMillis * MILLI) {
      run(5);
    }
    return (now - start) / MILLI;
  }

  boolean converged() {
    long version = platform.get(GossipValueKind.CONFIGURATION).version();
    return nodes.stream()
        .allMatch(n -> !n.alive || n.version(GossipValueKind.CONFIGURATION) == version);
  }

  void publishConfiguration() {
    long next = platformVersion(GossipValueKind.CONFIGURATION) + 1;
    ConfigurationVersion value =
        new ConfigurationVersion(next, "a" + next, "test", "", "", List.of());
    publish(new GossipValue.Configuration(value));
  }

  void publishHosts() {
    List<Host> hosts = nodes.stream().filter(n -> n.listed).map(n -> n.host).toList();
    publish(
        new GossipValue.Hosts(new HostList(platformVersion(GossipValueKind.HOST_LIST) + 1, hosts)));
  }

  private long platformVersion(GossipValueKind kind) {
    GossipValue value = platform.get(kind);
    return value == null ? 0 : value.version();
  }

  private void publish(GossipValue value) {
    platform.put(value.kind(), value);
    for (Node node : nodes) {
      if (node.polling && reachesPlatform(node)) {
        platformCalls++;
        node.later(2 * MILLI, () -> node.perform(node.gossip.platformValueReceived(value, now)));
      }
    }
  }

  private boolean reachesPlatform(Node node) {
    return platformUp && (!regionCut || node.region() == 0);
  }

  private boolean delivered(Node from, Node to) {
    boolean cut = regionCut && from.region() != to.region();
    return to.alive && !cut && random.nextDouble() >= loss;
  }

  /** Sends a request and its response; if either is lost, the sender runs into a timeout. */
  private <T> void request(Node from, Host to, Function<Node, T> handler, Consumer<T> onResponse) {
    Node receiver = nodes.get(Integer.parseInt(to.id().substring(1)));
    messages++;
    Runnable timeout = () -> from.gossip.peerFailed(to.id(), now);
    if (!delivered(from, receiver)) {
      from.later(GossipProtocol.PEER_TIMEOUT_NANOS, timeout);
      return;
    }
    int incarnation = from.incarnation;
    receiver.later(
        latency(),
        () -> {
          T response = handler.apply(receiver);
          messages++;
          if (!delivered(receiver, from)) {
            from.later(GossipProtocol.PEER_TIMEOUT_NANOS, timeout);
          } else if (from.incarnation == incarnation) {
            from.later(latency(), () -> onResponse.accept(response));
          }
        });
  }

  private long latency() {
    return MILLI + random.nextInt((int) (4 * MILLI));
  }

  /** One process; it can be killed and started again under the same id. */
  final class Node {
    final Host host;
    GossipProtocol gossip;
    boolean alive = true;
    boolean listed = true;
    boolean polling;
    private int incarnation;
    private final Map<GossipValueKind, Long> lastVersions = new EnumMap<>(GossipValueKind.class);

    Node(int index) {
      String domain = "d" + index % DOMAINS;
      String region = "r" + region(index);
      this.host =
          new Host(
              "n" + index,
              "127.0.0.1",
              1,
              1,
              1,
              domain,
              region,
              HostRole.PROXY,
              HostState.LIVE,
              List.of());
      this.gossip = newSpreader();
    }

    private static int region(int index) {
      return index % DOMAINS / 2;
    }

    int region() {
      return region(Integer.parseInt(host.id().substring(1)));
    }

    private GossipProtocol newSpreader() {
      return new GossipProtocol(host.id(), host.domain(), new Random(random.nextLong()), now);
    }

    void start() {
      incarnation++;
      alive = true;
      polling = false;
      lastVersions.clear();
      gossip = newSpreader();
      perform(gossip.start(now));
      later((long) (random.nextDouble() * GossipProtocol.TICK_NANOS), this::tick);
    }

    void kill() {
      alive = false;
      polling = false;
      incarnation++;
    }

    long version(GossipValueKind kind) {
      return gossip.value(kind).map(GossipValue::version).orElse(0L);
    }

    void later(long nanos, Runnable task) {
      int current = incarnation;
      after(
          nanos,
          () -> {
            if (alive && incarnation == current) {
              task.run();
            }
          });
    }

    private void tick() {
      perform(gossip.tick(now));
      later(GossipProtocol.TICK_NANOS, this::tick);
    }

    void perform(List<GossipAction> actions) {
      for (GossipAction action : actions) {
        if (action instanceof GossipAction.SendDigest send) {
          sendDigest(send);
        } else if (action instanceof GossipAction.Fetch fetch) {
          fetch(fetch);
        } else if (action instanceof GossipAction.Adopted adopted) {
          checkNewer(adopted.value());
        } else if (action instanceof GossipAction.ReadPlatform) {
          later(3 * MILLI, this::readPlatform);
        } else if (action instanceof GossipAction.WatchPlatform watch && watch.active()) {
          later(MILLI, this::poll);
        }
      }
    }

    private void sendDigest(GossipAction.SendDigest send) {
      request(
          this,
          send.to(),
          to -> {
            GossipDigest answer = to.gossip.digest();
            to.perform(to.gossip.digestReceived(host.id(), send.digest(), now));
            return answer;
          },
          answer -> perform(gossip.digestAcknowledged(send.to().id(), answer, now)));
    }

    private void fetch(GossipAction.Fetch fetch) {
      request(
          this,
          fetch.from(),
          from -> from.gossip.value(fetch.kind()),
          (Optional<GossipValue> value) ->
              value.ifPresent(v -> perform(gossip.valueReceived(fetch.from().id(), v, now))));
    }

    private void readPlatform() {
      platformCalls += 2;
      if (reachesPlatform(this)) {
        gossip.platformAnswered(now);
        List.copyOf(platform.values()).forEach(v -> perform(gossip.platformValueReceived(v, now)));
      }
    }

    /** A long poll of 10 s; {@code publish} answers it at once. */
    private void poll() {
      polling = gossip.watching();
      if (!polling) {
        return;
      }
      readPlatform();
      later(reachesPlatform(this) ? 10_000 * MILLI : 1_000 * MILLI, this::poll);
    }

    private void checkNewer(GossipValue value) {
      Long before = lastVersions.put(value.kind(), value.version());
      if (before != null && before >= value.version()) {
        throw new AssertionError(
            host.id() + ": " + value.kind() + " went from " + before + " to " + value.version());
      }
    }
  }
}
