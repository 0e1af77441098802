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
 * <p>Two live proxies per failure domain, chosen by rendezvous hashing over the host list, watch
 * the platform. A process that adopts a newer value tells a few random peers at once; these pull it
 * and tell others, so a value reaches nearly every process after a number of steps that grows with
 * the logarithm of the fleet. Pushing alone would leave some processes out; therefore each process
 * also exchanges a digest with one random peer a second, which repairs lost messages and cuts.
 *
 * <p>Invariant: the version of a value never goes back, in whatever order messages arrive. If every
 * process watched the platform, its calls would grow with the fleet; here they grow with the number
 * of failure domains. A process that has not heard from a watcher addresses its exchanges to the
 * watchers, and only if none answers for {@link #SILENCE_NANOS} does it ask the platform itself.
 *
 * <p>Pure logic: time and randomness are passed in, and the caller carries out the returned
 * actions. Used by one thread, except for {@link #isolated} and {@link #hosts}.
 */
public final class GossipProtocol {
  /** Time between two calls of {@link #tick}. */
  public static final long TICK_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Silence after which a process is on its own. */
  public static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Most time that a digest or a fetch may take. */
  public static final long PEER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Peers told at once of a new value; 4 reach 900 processes in about 5 steps. */
  static final int PUSH_FANOUT = 4;

  /** Two, so that the loss of one leaves its failure domain watched until the list changes. */
  static final int WATCHERS_PER_DOMAIN = 2;

  /** Half of the silence, so that several watchers can be tried before the platform is asked. */
  private static final long WATCHER_PATIENCE_NANOS = SILENCE_NANOS / 2;

  private final String ownId;
  private final String ownDomain;
  private final RandomGenerator random;
  private final Map<GossipValueKind, GossipValue> values = new EnumMap<>(GossipValueKind.class);
  private final Map<GossipValueKind, Long> refused = new EnumMap<>(GossipValueKind.class);
  private final Map<GossipValueKind, PendingFetch> fetches = new EnumMap<>(GossipValueKind.class);
  private final PeerHealth health = new PeerHealth();
  private volatile HostList hosts = HostList.EMPTY;
  private Map<String, Host> hostsById = Map.of();
  private List<Host> peers = List.of();
  private Map<String, Host> watchers = Map.of();
  private boolean watching;
  private boolean watcherFailed;
  private boolean leaving;
  private volatile long lastContact;
  private long lastWatcherContact;
  private long nextAsk;

  /**
   * Creates the logic of one process.
   *
   * @param ownId id of this process in the host list
   * @param ownDomain its failure domain
   * @param random source of randomness
   * @param nowNanos monotonic time
   */
  public GossipProtocol(String ownId, String ownDomain, RandomGenerator random, long nowNanos) {
    this.ownId = ownId;
    this.ownDomain = ownDomain;
    this.random = random;
    this.lastContact = nowNanos;
    this.lastWatcherContact = nowNanos;
    this.nextAsk = nowNanos;
  }

  /** A pull that has not been answered. */
  private record PendingFetch(String peer, long version, long untilNanos) {}

  /** Starts the process: the platform is asked once. */
  public List<GossipAction> start(long nowNanos) {
    return askPlatform(nowNanos);
  }

  /** Does the periodic work; to be called every {@link #TICK_NANOS}. */
  public List<GossipAction> tick(long nowNanos) {
    List<GossipAction> actions = new ArrayList<>();
    exchangePartner(nowNanos).ifPresent(peer -> actions.add(digestTo(peer)));
    boolean alone = nowNanos - lastWatcherContact > SILENCE_NANOS;
    boolean unstarted = hosts.hosts().isEmpty();
    if (!watching && (alone || unstarted) && nowNanos - nextAsk >= 0) {
      actions.addAll(askPlatform(nowNanos));
    }
    return actions;
  }

  /** Takes a digest that a peer sent; the caller answers it with {@link #digest}. */
  public List<GossipAction> digestReceived(String from, GossipDigest digest, long nowNanos) {
    heardFrom(from, digest, nowNanos);
    List<GossipAction> actions = new ArrayList<>();
    Optional<Host> peer = Optional.ofNullable(hostsById.get(from));
    for (GossipValueKind kind : GossipValueKind.values()) {
      peer.filter(p -> shouldFetch(kind, digest.version(kind), nowNanos))
          .ifPresent(
              p -> {
                long until = nowNanos + PEER_TIMEOUT_NANOS;
                fetches.put(kind, new PendingFetch(from, digest.version(kind), until));
                actions.add(new GossipAction.Fetch(p, kind));
              });
    }
    return actions;
  }

  /** Takes the answer to a digest that this process sent. */
  public List<GossipAction> digestAcknowledged(String from, GossipDigest digest, long nowNanos) {
    return digestReceived(from, digest, nowNanos);
  }

  /** Takes a value that was pulled. */
  public List<GossipAction> valueReceived(String from, GossipValue value, long nowNanos) {
    lastContact = nowNanos;
    fetches.remove(value.kind());
    return adopt(value, nowNanos);
  }

  /** Takes note that a peer did not answer. */
  public void peerFailed(String peer, long nowNanos) {
    health.failed(peer, nowNanos);
    watcherFailed |= watchers.containsKey(peer);
    fetches.values().removeIf(fetch -> fetch.peer().equals(peer));
  }

  /** Takes a value from the platform. */
  public List<GossipAction> platformValueReceived(GossipValue value, long nowNanos) {
    platformAnswered(nowNanos);
    return adopt(value, nowNanos);
  }

  /** Takes note that the platform answered, even if nothing changed. */
  public void platformAnswered(long nowNanos) {
    lastContact = nowNanos;
    lastWatcherContact = nowNanos;
  }

  /** Remembers a value that cannot be used, so that it is not pulled again. */
  public void refuse(GossipValueKind kind, long version) {
    refused.merge(kind, version, Math::max);
    fetches.remove(kind);
  }

  /** Sets whether this process is shutting down, and tells some peers. */
  public List<GossipAction> leaving(boolean now, long nowNanos) {
    leaving = now;
    return push(nowNanos);
  }

  /** Returns what this process says of itself. */
  public GossipDigest digest() {
    return new GossipDigest(
        version(GossipValueKind.CONFIGURATION), version(GossipValueKind.HOST_LIST), leaving);
  }

  /** Returns the value of a kind, if there is one. */
  public Optional<GossipValue> value(GossipValueKind kind) {
    return Optional.ofNullable(values.get(kind));
  }

  /** Returns the host list. */
  public HostList hosts() {
    return hosts;
  }

  /** Returns whether this process watches the platform. */
  public boolean watching() {
    return watching;
  }

  /**
   * Returns whether neither the platform nor any peer was reached for {@link #SILENCE_NANOS},
   * although other proxies are listed.
   */
  public boolean isolated(long nowNanos) {
    return nowNanos - lastContact > SILENCE_NANOS
        && hosts.live(HostRole.PROXY).anyMatch(host -> !host.id().equals(ownId));
  }

  /** Returns the peers that said that they are shutting down. */
  public Set<String> leavingPeers(long nowNanos) {
    return health.leaving(nowNanos);
  }

  private List<GossipAction> adopt(GossipValue value, long nowNanos) {
    if (value.version() <= version(value.kind())) {
      return List.of();
    }
    values.put(value.kind(), value);
    List<GossipAction> actions = new ArrayList<>();
    actions.add(new GossipAction.Adopted(value));
    if (value instanceof GossipValue.Hosts list) {
      actions.addAll(useHosts(list.value()));
    }
    actions.addAll(push(nowNanos));
    return actions;
  }

  private List<GossipAction> useHosts(HostList list) {
    hosts = list;
    hostsById = new HashMap<>();
    list.hosts().forEach(host -> hostsById.put(host.id(), host));
    peers =
        list.hosts().stream()
            .filter(h -> h.role() != HostRole.BACKEND_SERVER && h.peerPort() > 0)
            .filter(h -> h.state().acceptsNewWork() && !h.id().equals(ownId))
            .toList();
    Map<String, Host> chosen = WatcherSelection.watchers(list, WATCHERS_PER_DOMAIN);
    boolean chosenNow = chosen.containsKey(ownId);
    watchers = new HashMap<>(chosen);
    watchers.remove(ownId);
    health.retain(list);
    if (chosenNow == watching) {
      return List.of();
    }
    watching = chosenNow;
    return List.of(new GossipAction.WatchPlatform(watching));
  }

  private List<GossipAction> push(long nowNanos) {
    List<Host> remaining = new ArrayList<>(usable(peers, nowNanos));
    List<GossipAction> actions = new ArrayList<>();
    while (actions.size() < PUSH_FANOUT && !remaining.isEmpty()) {
      int index = random.nextInt(remaining.size());
      actions.add(digestTo(remaining.get(index)));
      remaining.set(index, remaining.get(remaining.size() - 1));
      remaining.remove(remaining.size() - 1);
    }
    return actions;
  }

  private Optional<Host> exchangePartner(long nowNanos) {
    long silence = nowNanos - lastWatcherContact;
    // Once the platform has been asked, half of the exchanges go to other peers again.
    boolean seekWatcher =
        silence > WATCHER_PATIENCE_NANOS && (silence <= SILENCE_NANOS || random.nextBoolean());
    if (!watching && seekWatcher) {
      List<Host> known = usable(List.copyOf(watchers.values()), nowNanos);
      List<Host> near = known.stream().filter(h -> h.domain().equals(ownDomain)).toList();
      // After a failure all domains are tried, since the own domain's watchers may all be down.
      Optional<Host> watcher = pick(watcherFailed || near.isEmpty() ? known : near);
      if (watcher.isPresent()) {
        return watcher;
      }
    }
    List<Host> candidates = usable(peers, nowNanos);
    return pick(candidates.isEmpty() ? peers : candidates);
  }

  private Optional<Host> pick(List<Host> candidates) {
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  private List<Host> usable(List<Host> candidates, long nowNanos) {
    return health.anyFailure(nowNanos)
        ? candidates.stream().filter(h -> !health.avoided(h.id(), nowNanos)).toList()
        : candidates;
  }

  private boolean shouldFetch(GossipValueKind kind, long offered, long nowNanos) {
    if (offered <= version(kind) || offered <= refused.getOrDefault(kind, 0L)) {
      return false;
    }
    PendingFetch pending = fetches.get(kind);
    return pending == null || offered > pending.version() || nowNanos - pending.untilNanos() >= 0;
  }

  private void heardFrom(String from, GossipDigest digest, long nowNanos) {
    lastContact = nowNanos;
    health.heard(from, digest.leaving(), nowNanos);
    if (watchers.containsKey(from)) {
      lastWatcherContact = nowNanos;
      watcherFailed = false;
    }
  }

  private List<GossipAction> askPlatform(long nowNanos) {
    long pause = hosts.hosts().isEmpty() ? TICK_NANOS : SILENCE_NANOS;
    nextAsk = nowNanos + (long) (pause * (0.75 + 0.5 * random.nextDouble()));
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
