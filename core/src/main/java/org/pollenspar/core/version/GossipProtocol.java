package org.pollenspar.core.version;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;

/**
 * Spreads the configuration and the host list from a few watchers to the whole fleet by gossip.
 *
 * <p>Two live proxies per failure domain, the watchers, are chosen by rendezvous hashing over the
 * host list and watch the platform by long poll. A process that adopts a newer value sends a digest
 * of its versions to a few random peers at once; these pull the value and inform others, so a value
 * reaches nearly every process after a number of steps that grows with the logarithm of the fleet.
 * Pushing alone would miss some processes. Therefore each process also exchanges a digest with one
 * random peer per second, which makes up for lost messages and for network partitions.
 *
 * <p>Invariant: the version of a value never goes back, in whatever order messages arrive.
 *
 * <p>If every process watched the platform, the number of calls to it would grow with the fleet;
 * here it grows with the number of failure domains. A process that has had no contact with a
 * watcher for half of {@link #CONTACT_TIMEOUT_NANOS} sends its digests to watchers. Only if none of
 * them makes contact within the whole of that time does the process read the platform itself, and
 * then about once per {@link #CONTACT_TIMEOUT_NANOS}. A process without a host list knows no
 * watchers and reads the platform every one to two seconds.
 *
 * <p>State: the newest value of each kind, versions that turned out to be unusable, at most one
 * pending fetch per kind, the peers and watchers that follow from the host list, and the times of
 * the last contacts. There is no input or output: time (monotonic nanoseconds) and randomness are
 * passed in, and the caller carries out the returned actions. Used by one thread, except for {@link
 * #isolated} and {@link #hosts}, which any thread may call.
 */
public final class GossipProtocol {
  /** Time between two calls of {@link #tick}. */
  public static final long TICK_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Time without contact to a watcher after which a process reads the platform itself, and without
   * contact to anyone after which it counts as isolated.
   */
  public static final long CONTACT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Timeout of a digest exchange or a fetch. */
  public static final long PEER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Number of peers that are sent a digest at once; 4 reach 900 processes in about 5 steps. */
  static final int PUSH_FANOUT = 4;

  /**
   * Two, so that after the loss of one watcher its failure domain still has another until the host
   * list changes.
   */
  static final int WATCHERS_PER_DOMAIN = 2;

  /** Leaves time to try several watchers before the platform is read. */
  private static final long WATCHER_SEARCH_DELAY_NANOS = CONTACT_TIMEOUT_NANOS / 2;

  private final String ownId;
  private final String ownDomain;
  private final RandomGenerator random;
  private final Map<GossipValueKind, GossipValue> values = new EnumMap<>(GossipValueKind.class);
  private final Map<GossipValueKind, Long> unusableVersions = new EnumMap<>(GossipValueKind.class);
  private final Map<GossipValueKind, PendingFetch> pendingFetches =
      new EnumMap<>(GossipValueKind.class);
  private final PeerHealth health = new PeerHealth();
  private volatile HostList hosts = HostList.EMPTY;
  private Map<String, Host> hostsById = Map.of();
  private List<Host> peers = List.of();
  private Map<String, Host> watchers = Map.of();
  private boolean watching;
  private boolean watcherFailed;
  private boolean leaving;
  private volatile long lastContactNanos;
  private long lastWatcherContactNanos;
  private long nextPlatformReadNanos;

  /**
   * Creates the protocol state of one process.
   *
   * @param ownId id of this process in the host list
   * @param ownDomain failure domain of this process
   * @param random source of randomness
   * @param nowNanos monotonic time
   */
  public GossipProtocol(String ownId, String ownDomain, RandomGenerator random, long nowNanos) {
    this.ownId = ownId;
    this.ownDomain = ownDomain;
    this.random = random;
    this.lastContactNanos = nowNanos;
    this.lastWatcherContactNanos = nowNanos;
    this.nextPlatformReadNanos = nowNanos;
  }

  /** A fetch that has not been answered; after {@code untilNanos} another may be sent. */
  private record PendingFetch(String peer, long version, long untilNanos) {}

  /** Starts the protocol with one read of the platform. */
  public List<GossipAction> start(long nowNanos) {
    return readPlatform(nowNanos);
  }

  /** Does the periodic work; must be called every {@link #TICK_NANOS}. */
  public List<GossipAction> tick(long nowNanos) {
    List<GossipAction> actions = new ArrayList<>();
    chooseExchangePeer(nowNanos).ifPresent(peer -> actions.add(digestTo(peer)));
    boolean watchersSilent = nowNanos - lastWatcherContactNanos > CONTACT_TIMEOUT_NANOS;
    boolean noHostList = hosts.hosts().isEmpty();
    if (!watching && (watchersSilent || noHostList) && nowNanos - nextPlatformReadNanos >= 0) {
      actions.addAll(readPlatform(nowNanos));
    }
    return actions;
  }

  /** Handles a digest from a peer; the caller must answer it with {@link #digest}. */
  public List<GossipAction> digestReceived(String from, GossipDigest digest, long nowNanos) {
    recordContact(from, digest, nowNanos);
    List<GossipAction> actions = new ArrayList<>();
    Optional<Host> peer = Optional.ofNullable(hostsById.get(from));
    for (GossipValueKind kind : GossipValueKind.values()) {
      peer.filter(p -> shouldFetch(kind, digest.version(kind), nowNanos))
          .ifPresent(
              p -> {
                long until = nowNanos + PEER_TIMEOUT_NANOS;
                pendingFetches.put(kind, new PendingFetch(from, digest.version(kind), until));
                actions.add(new GossipAction.Fetch(p, kind));
              });
    }
    return actions;
  }

  /** Handles the answer to a digest that this process sent. */
  public List<GossipAction> digestAcknowledged(String from, GossipDigest digest, long nowNanos) {
    return digestReceived(from, digest, nowNanos);
  }

  /** Handles the answer to a fetch. */
  public List<GossipAction> valueReceived(String from, GossipValue value, long nowNanos) {
    lastContactNanos = nowNanos;
    pendingFetches.remove(value.kind());
    return adopt(value, nowNanos);
  }

  /** Records that a peer did not answer a digest or a fetch in time. */
  public void peerFailed(String peer, long nowNanos) {
    health.recordFailure(peer, nowNanos);
    watcherFailed |= watchers.containsKey(peer);
    pendingFetches.values().removeIf(fetch -> fetch.peer().equals(peer));
  }

  /** Handles a value that was read from the platform. */
  public List<GossipAction> platformValueReceived(GossipValue value, long nowNanos) {
    platformAnswered(nowNanos);
    return adopt(value, nowNanos);
  }

  /** Records that the platform answered, even if nothing changed. */
  public void platformAnswered(long nowNanos) {
    lastContactNanos = nowNanos;
    lastWatcherContactNanos = nowNanos;
  }

  /** Records that a version cannot be used, so that it is not fetched again. */
  public void refuse(GossipValueKind kind, long version) {
    unusableVersions.merge(kind, version, Math::max);
    pendingFetches.remove(kind);
  }

  /** Sets whether this process is shutting down, and sends a digest that says so to some peers. */
  public List<GossipAction> leaving(boolean now, long nowNanos) {
    leaving = now;
    return push(nowNanos);
  }

  /** Returns the digest of this process. */
  public GossipDigest digest() {
    return new GossipDigest(
        version(GossipValueKind.CONFIGURATION), version(GossipValueKind.HOST_LIST), leaving);
  }

  /** Returns the newest value of a kind; empty if there is none yet. */
  public Optional<GossipValue> value(GossipValueKind kind) {
    return Optional.ofNullable(values.get(kind));
  }

  /** Returns the newest host list; {@link HostList#EMPTY} before the first. */
  public HostList hosts() {
    return hosts;
  }

  /** Returns whether this process is a watcher. */
  public boolean watching() {
    return watching;
  }

  /**
   * Returns whether neither the platform nor any peer was reached for {@link
   * #CONTACT_TIMEOUT_NANOS}, although other proxies are listed.
   */
  public boolean isolated(long nowNanos) {
    return nowNanos - lastContactNanos > CONTACT_TIMEOUT_NANOS
        && hosts.live(HostRole.PROXY).anyMatch(host -> !host.id().equals(ownId));
  }

  /** Returns the ids of the peers that have announced that they are shutting down. */
  public Set<String> leavingPeers(long nowNanos) {
    return health.leavingPeers(nowNanos);
  }

  private List<GossipAction> adopt(GossipValue value, long nowNanos) {
    if (value.version() <= version(value.kind())) {
      return List.of();
    }
    values.put(value.kind(), value);
    List<GossipAction> actions = new ArrayList<>();
    actions.add(new GossipAction.Adopted(value));
    if (value instanceof GossipValue.Hosts list) {
      actions.addAll(applyHostList(list.value()));
    }
    actions.addAll(push(nowNanos));
    return actions;
  }

  private List<GossipAction> applyHostList(HostList list) {
    hosts = list;
    hostsById = new HashMap<>();
    list.hosts().forEach(host -> hostsById.put(host.id(), host));
    peers =
        list.hosts().stream()
            .filter(h -> h.role() != HostRole.BACKEND_SERVER && h.peerPort() > 0)
            .filter(h -> h.state().acceptsNewWork() && !h.id().equals(ownId))
            .toList();
    Map<String, Host> chosen = WatcherSelection.watchers(list, WATCHERS_PER_DOMAIN);
    boolean isWatcher = chosen.containsKey(ownId);
    watchers = new HashMap<>(chosen);
    watchers.remove(ownId);
    health.retainListed(list);
    if (isWatcher == watching) {
      return List.of();
    }
    watching = isWatcher;
    return List.of(new GossipAction.WatchPlatform(watching));
  }

  private List<GossipAction> push(long nowNanos) {
    List<Host> candidates = new ArrayList<>(withoutFailed(peers, nowNanos));
    List<GossipAction> actions = new ArrayList<>();
    while (actions.size() < PUSH_FANOUT && !candidates.isEmpty()) {
      int index = random.nextInt(candidates.size());
      actions.add(digestTo(candidates.get(index)));
      candidates.set(index, candidates.get(candidates.size() - 1));
      candidates.remove(candidates.size() - 1);
    }
    return actions;
  }

  private Optional<Host> chooseExchangePeer(long nowNanos) {
    long watcherSilenceNanos = nowNanos - lastWatcherContactNanos;
    // Once the platform is read directly, half of the exchanges go to other peers again.
    boolean preferWatcher =
        watcherSilenceNanos > WATCHER_SEARCH_DELAY_NANOS
            && (watcherSilenceNanos <= CONTACT_TIMEOUT_NANOS || random.nextBoolean());
    if (!watching && preferWatcher) {
      List<Host> reachableWatchers = withoutFailed(List.copyOf(watchers.values()), nowNanos);
      List<Host> inOwnDomain =
          reachableWatchers.stream().filter(h -> h.domain().equals(ownDomain)).toList();
      // After a failed exchange, watchers of all domains are tried, since those of this process's
      // domain may all be down.
      Optional<Host> watcher =
          pick(watcherFailed || inOwnDomain.isEmpty() ? reachableWatchers : inOwnDomain);
      if (watcher.isPresent()) {
        return watcher;
      }
    }
    List<Host> candidates = withoutFailed(peers, nowNanos);
    return pick(candidates.isEmpty() ? peers : candidates);
  }

  private Optional<Host> pick(List<Host> candidates) {
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  private List<Host> withoutFailed(List<Host> candidates, long nowNanos) {
    return health.hasRecentFailures(nowNanos)
        ? candidates.stream().filter(h -> !health.isAvoided(h.id(), nowNanos)).toList()
        : candidates;
  }

  private boolean shouldFetch(GossipValueKind kind, long offered, long nowNanos) {
    if (offered <= version(kind) || offered <= unusableVersions.getOrDefault(kind, 0L)) {
      return false;
    }
    PendingFetch pendingFetch = pendingFetches.get(kind);
    return pendingFetch == null
        || offered > pendingFetch.version()
        || nowNanos - pendingFetch.untilNanos() >= 0;
  }

  private void recordContact(String from, GossipDigest digest, long nowNanos) {
    lastContactNanos = nowNanos;
    health.recordContact(from, digest.leaving(), nowNanos);
    if (watchers.containsKey(from)) {
      lastWatcherContactNanos = nowNanos;
      watcherFailed = false;
    }
  }

  private List<GossipAction> readPlatform(long nowNanos) {
    long intervalNanos = hosts.hosts().isEmpty() ? TICK_NANOS : CONTACT_TIMEOUT_NANOS;
    // A jitter of 25 % keeps processes from reading the platform at the same time.
    nextPlatformReadNanos = nowNanos + (long) (intervalNanos * (0.75 + 0.5 * random.nextDouble()));
    return List.of(new GossipAction.ReadPlatform());
  }

  private GossipAction digestTo(Host peer) {
    return new GossipAction.SendDigest(peer, digest());
  }

  private long version(GossipValueKind kind) {
    GossipValue value = values.get(kind);
    return value == null ? 0 : value.version();
  }
}
