package org.pollenspar.net.version;

import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Future;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.core.version.FleetVersion;
import org.pollenspar.core.version.GossipAction;
import org.pollenspar.core.version.GossipDigest;
import org.pollenspar.core.version.GossipProtocol;
import org.pollenspar.core.version.GossipValue;
import org.pollenspar.core.version.GossipValueKind;
import org.pollenspar.core.version.VersionHolder;
import org.pollenspar.net.connection.PeerAddress;
import org.pollenspar.net.connection.PeerNetwork;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.net.process.HostDirectory;
import org.pollenspar.net.process.KeyValueService;
import org.pollenspar.wire.Envelope;
import org.pollenspar.wire.ValueMessage;

/**
 * Keeps the configuration and the host list of this process up to date.
 *
 * <p>A {@link GossipProtocol} decides when to read or watch the platform, and which peers to
 * exchange digests and values with; this class carries out its actions. A value is replaced only by
 * one of a higher version, so an outdated peer or platform cannot bring back an older one.
 *
 * <p>The gossip protocol runs on the control thread. Calls to the platform block and run, like the
 * decoding of values, on the threads of {@link PlatformReader}. Accessors may be called from any
 * thread.
 */
public final class FleetFeed implements AutoCloseable {
  private static final Duration TICK = Duration.ofNanos(GossipProtocol.TICK_NANOS);
  private static final Duration PEER_TIMEOUT = Duration.ofNanos(GossipProtocol.PEER_TIMEOUT_NANOS);

  private final PeerNetwork network;
  private final ControlThread control;
  private final RandomGenerator random;
  private final Timeline timeline;
  private final VersionHolder holder;
  private final GossipProtocol gossip;
  private final PlatformReader platform;
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private volatile Map<GossipValueKind, DecodedValue> values = Map.of();
  private volatile @Nullable FleetVersion current;
  private volatile HostList hosts = HostList.EMPTY;
  private volatile Set<String> leavingPeers = Set.of();
  private volatile boolean watching;
  private volatile boolean closed;
  private volatile @Nullable Future<?> ticker;

  /**
   * Kinds whose last read at the platform failed, so that an outage is recorded only once; used by
   * the control thread.
   */
  private final Set<GossipValueKind> unavailableKinds = EnumSet.noneOf(GossipValueKind.class);

  /**
   * Creates the feed; {@link #start} begins reading and gossiping.
   *
   * @param ownId id of this process in the host list
   * @param ownDomain its failure domain
   * @param keyValues holds the configuration
   * @param directory holds the host list
   * @param network carries messages to peers
   * @param control owns the decision state
   * @param random source of randomness, used by the control thread only
   * @param timeline records changes of state
   * @param holder keeps the configuration version from going back
   */
  public FleetFeed(
      String ownId,
      String ownDomain,
      KeyValueService keyValues,
      HostDirectory directory,
      PeerNetwork network,
      ControlThread control,
      RandomGenerator random,
      Timeline timeline,
      VersionHolder holder) {
    this.network = network;
    this.control = control;
    this.random = random;
    this.timeline = timeline;
    this.holder = holder;
    this.gossip = new GossipProtocol(ownId, ownDomain, random, control.nowNanos());
    this.platform = new PlatformReader(keyValues, directory, new PlatformReceiver());
  }

  /** Reads the platform once and starts the exchange of digests with peers. */
  public void start() {
    control.execute(
        () -> {
          perform(gossip.start(control.nowNanos()));
          // Without a random first delay, processes that start together would gossip all at once.
          Duration delay = Duration.ofNanos(random.nextLong(GossipProtocol.TICK_NANOS));
          ticker = control.schedule(delay, this::startTicking);
        });
  }

  /** Returns the configuration in force; empty until the first is received. */
  public Optional<FleetVersion> current() {
    return Optional.ofNullable(current);
  }

  /** Returns the host list; empty until the first is received. */
  public HostList hosts() {
    return hosts;
  }

  /**
   * Adds a listener, called on the control thread after a change of the configuration, the host
   * list or the leaving peers.
   */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /** Returns whether this process watches the platform, so that other processes need not. */
  public boolean watching() {
    return watching;
  }

  /** Returns the ids of peers that announced their shutdown, which the host list shows later. */
  public Set<String> leavingPeers() {
    return leavingPeers;
  }

  /** Sets whether this process is shutting down, and informs some peers at once. */
  public void setLeaving(boolean leaving) {
    control.execute(() -> perform(gossip.leaving(leaving, control.nowNanos())));
  }

  /**
   * Returns whether neither the platform nor any peer was reached for 10 s although other proxies
   * are listed.
   */
  public boolean isolated(long nowNanos) {
    return gossip.isolated(nowNanos);
  }

  /** Answers the requests {@code Digest} and {@code FetchValue} of a peer. */
  public CompletionStage<Envelope.Builder> handle(Envelope request) {
    return switch (request.getBodyCase()) {
      case DIGEST -> control.call(() -> answerDigest(request));
      case FETCH_VALUE -> CompletableFuture.completedFuture(answerFetch(request));
      default ->
          CompletableFuture.failedFuture(
              new IllegalArgumentException("not a gossip request: " + request.getBodyCase()));
    };
  }

  private Envelope.Builder answerDigest(Envelope request) {
    GossipDigest own = gossip.digest();
    GossipDigest received = GossipMessages.digest(request.getDigest());
    perform(gossip.digestReceived(request.getSender(), received, control.nowNanos()));
    return GossipMessages.digestAck(own);
  }

  private Envelope.Builder answerFetch(Envelope request) {
    return GossipMessages.kind(request.getFetchValue().getKind())
        .flatMap(kind -> Optional.ofNullable(values.get(kind)))
        .map(GossipMessages::value)
        .orElseGet(GossipMessages::noValue);
  }

  private void startTicking() {
    tick();
    ticker = control.scheduleRepeatedly(TICK, this::tick);
  }

  private void tick() {
    perform(gossip.tick(control.nowNanos()));
  }

  private void perform(List<GossipAction> actions) {
    perform(actions, null);
  }

  /** Carries out actions; {@code received} is the value that an {@code Adopted} refers to. */
  private void perform(List<GossipAction> actions, @Nullable DecodedValue received) {
    boolean changed = false;
    for (GossipAction action : actions) {
      if (action instanceof GossipAction.SendDigest send) {
        sendDigest(send.to(), send.digest());
      } else if (action instanceof GossipAction.Fetch fetch) {
        fetch(fetch.from(), fetch.kind());
      } else if (action instanceof GossipAction.Adopted && received != null) {
        adopt(received);
        changed = true;
      } else if (action instanceof GossipAction.ReadPlatform) {
        platform.readOnce();
      } else if (action instanceof GossipAction.WatchPlatform watch) {
        watching = watch.active();
        timeline.record("watch", "platform", watching ? "started" : "stopped");
        platform.watch(watching);
      }
    }
    Set<String> leaving = gossip.leavingPeers(control.nowNanos());
    if (!leaving.equals(leavingPeers)) {
      leavingPeers = leaving;
      changed = true;
    }
    if (changed) {
      listeners.forEach(Runnable::run);
    }
  }

  private void adopt(DecodedValue decoded) {
    if (decoded.value() instanceof GossipValue.Configuration configuration) {
      if (!holder.offer(configuration.value())) {
        return;
      }
      decoded.file().ifPresent(file -> current = new FleetVersion(configuration.version(), file));
      String detail =
          "apply " + configuration.value().applyId() + " by " + configuration.value().author();
      timeline.record("configuration", String.valueOf(configuration.version()), detail);
    } else if (decoded.value() instanceof GossipValue.Hosts list) {
      hosts = list.value();
      String detail = list.value().hosts().size() + " hosts";
      timeline.record("host_list", String.valueOf(list.version()), detail);
    }
    Map<GossipValueKind, DecodedValue> updated = new EnumMap<>(GossipValueKind.class);
    updated.putAll(values);
    updated.put(decoded.value().kind(), decoded);
    values = updated;
  }

  private void sendDigest(Host to, GossipDigest digest) {
    network
        .request(address(to), GossipMessages.digest(digest), PEER_TIMEOUT)
        .whenComplete(
            (response, failure) ->
                onControl(
                    () -> {
                      if (failure != null || !response.hasDigestAck()) {
                        gossip.peerFailed(to.id(), control.nowNanos());
                        return;
                      }
                      GossipDigest ack = GossipMessages.digest(response.getDigestAck());
                      perform(gossip.digestAcknowledged(to.id(), ack, control.nowNanos()));
                    }));
  }

  private void fetch(Host from, GossipValueKind kind) {
    network
        .request(address(from), GossipMessages.fetch(kind), PEER_TIMEOUT)
        .whenComplete(
            (response, failure) -> {
              if (failure != null
                  || !response.hasValue()
                  || response.getValue().getVersion() == 0) {
                onControl(() -> gossip.peerFailed(from.id(), control.nowNanos()));
              } else {
                platform.run(() -> decodeFetched(from, kind, response.getValue()));
              }
            });
  }

  private void decodeFetched(Host from, GossipValueKind kind, ValueMessage message) {
    CompressedText.decompress(message.getGzipJson())
        .flatMap(json -> DecodedValue.decode(kind, json))
        .peek(
            value ->
                onControl(
                    () ->
                        perform(
                            gossip.valueReceived(from.id(), value.value(), control.nowNanos()),
                            value)))
        .peekLeft(error -> onControl(() -> refuse(kind, message.getVersion(), error)));
  }

  private void refuse(GossipValueKind kind, long version, PollensparError error) {
    gossip.refuse(kind, version);
    timeline.record("value_refused", kind + " " + version, error.message());
  }

  private void onControl(Runnable task) {
    if (!closed) {
      control.execute(task);
    }
  }

  private static PeerAddress address(Host host) {
    return new PeerAddress(host.id(), host.address(), host.peerPort());
  }

  @Override
  public void close() {
    closed = true;
    Future<?> running = ticker;
    if (running != null) {
      running.cancel(false);
    }
    platform.close();
  }

  /** Passes the platform's answers on to the control thread. */
  private final class PlatformReceiver implements PlatformReader.Receiver {
    @Override
    public void valueRead(DecodedValue value) {
      onControl(
          () -> {
            markReachable(value.value().kind());
            perform(gossip.platformValueReceived(value.value(), control.nowNanos()), value);
          });
    }

    @Override
    public void answeredWithoutValue(GossipValueKind kind) {
      onControl(
          () -> {
            markReachable(kind);
            gossip.platformAnswered(control.nowNanos());
          });
    }

    @Override
    public void readFailed(GossipValueKind kind, PollensparError error) {
      onControl(
          () -> {
            if (unavailableKinds.add(kind)) {
              timeline.record("platform_lost", kind.name(), error.message());
            }
          });
    }

    private void markReachable(GossipValueKind kind) {
      if (unavailableKinds.remove(kind)) {
        timeline.record("platform_reached", kind.name(), "");
      }
    }
  }
}
