package org.pollenspar.proxy.process;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;
import org.pollenspar.core.connection.TokenCodec;
import org.pollenspar.core.process.Closer;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.core.version.FleetFile;
import org.pollenspar.core.version.VersionHolder;
import org.pollenspar.net.connection.PeerHandler;
import org.pollenspar.net.connection.PeerNetwork;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.net.process.HostDirectory;
import org.pollenspar.net.process.HttpService;
import org.pollenspar.net.process.KeyValueService;
import org.pollenspar.net.version.FleetFeed;
import org.pollenspar.proxy.connection.ConnectionMetrics;
import org.pollenspar.proxy.connection.HomeContext;
import org.pollenspar.proxy.connection.HomeMetrics;
import org.pollenspar.proxy.connection.PoolContext;
import org.pollenspar.proxy.request.CallerHandler;
import org.pollenspar.proxy.request.EntryMetrics;
import org.pollenspar.proxy.request.Forwarder;
import org.pollenspar.proxy.request.LocalHomes;
import org.pollenspar.proxy.request.PeerRequestHandler;
import org.pollenspar.proxy.request.ReplyWriter;
import org.pollenspar.proxy.request.WorkParser;
import org.pollenspar.wire.Envelope;

/**
 * A proxy: creates its components, connects them, and starts, drains and closes them.
 *
 * <p>It has two roles. As an entry it accepts requests of callers and forwards them to a home of
 * their group. As a home it executes requests of its groups on databases. The state behind all
 * decisions belongs to the control thread; listeners and connections have threads of their own.
 */
public final class Proxy implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 256 * 1024;
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration TICK = Duration.ofMillis(5);
  private static final Duration PURGE_PAUSE = Duration.ofSeconds(10);

  /** Time without contact to platform and peers that is stated in refusals of an isolated proxy. */
  private static final long ISOLATION_MILLIS = 10_000;

  private static final long CONTROL_TIMEOUT_SECONDS = 5;

  private final ProxyOptions options;
  private final ControlThread control;
  private final InvariantChecker invariants;
  private final Timeline timeline;
  private final StatusReport statusReport;
  private final Closer closer = new Closer();
  private final FleetFeed feed;
  private final GroupHomes homes;
  private final KeyPurger purger;
  private final KindHistory kinds = new KindHistory();
  private final CallerHandler callers;
  private final PeerRequestHandler peerRequests;
  private final HttpService http;
  private volatile FleetSnapshot fleet = new FleetSnapshot(Optional.empty(), HostList.EMPTY);
  private volatile boolean isolated;
  private volatile boolean draining;
  private final AtomicBoolean closed = new AtomicBoolean();

  /**
   * Creates a proxy; {@link #start} opens the listener for callers.
   *
   * @param services control thread, timeline, invariants and metrics of the process
   * @param platform services of the platform
   * @param peerNetworks opens the peer network with a handler for requests of peers
   */
  public Proxy(
      ProxyOptions options,
      ProcessServices services,
      PlatformServices platform,
      Function<PeerHandler, PeerNetwork> peerNetworks) {
    this.options = options;
    this.control = services.control();
    this.invariants = services.invariants();
    this.timeline = services.timeline();
    MetricRegistry registry = services.registry();
    this.statusReport = new StatusReport(options, invariants, registry);
    IdentifierGenerator ids = new IdentifierGenerator();
    this.homes = new GroupHomes(options.hostId(), homeContext(options, services, ids), timeline);
    this.purger =
        new KeyPurger(
            new HomeAccess()::submit, ids::key, control::nowNanos, System::currentTimeMillis);
    ExecutorService replyExecutor =
        Executors.newFixedThreadPool(options.threads(), daemonThreads("answer"));
    closer.register(replyExecutor::shutdownNow);
    PeerNetwork peers = closer.register(peerNetworks.apply(this::answerPeer));
    this.feed =
        closer.register(
            new FleetFeed(
                options.hostId(),
                options.domain(),
                platform.keyValues(),
                platform.directory(),
                peers,
                control,
                ids.random(),
                timeline,
                new VersionHolder()));
    this.peerRequests =
        new PeerRequestHandler(
            options.domain(), control, homes, kinds, feed::handle, replyExecutor);
    EntryMetrics metrics = new EntryMetrics(registry);
    TokenCodec codec = new TokenCodec(options.tokenSecret().getBytes(StandardCharsets.UTF_8));
    Forwarder forwarder =
        new Forwarder(
            options.hostId(),
            options.domain(),
            peers,
            new HomeAccess(),
            control,
            metrics,
            ids.random());
    this.callers =
        new CallerHandler(
            () -> fleet,
            this::refusal,
            new WorkParser(codec, ids::key),
            new ReplyWriter(codec),
            forwarder,
            control,
            metrics,
            ids::session,
            replyExecutor);
    this.http =
        new HttpService(
            "callers", options.callers(), MAX_BODY_BYTES, READ_TIMEOUT, options.threads(), callers);
  }

  private static HomeContext homeContext(
      ProxyOptions options, ProcessServices services, IdentifierGenerator ids) {
    PoolContext pools =
        new PoolContext(
            services.control(),
            options.login(),
            daemonThreads("database"),
            services.invariants(),
            ConnectionMetrics.in(services.registry()));
    return new HomeContext(
        pools,
        options.policy(),
        options.domain(),
        services.timeline(),
        new HomeMetrics(services.registry()),
        ids::nonce,
        System::currentTimeMillis);
  }

  /**
   * Services of the process that are created before the proxy.
   *
   * @param control thread that owns the state behind all decisions
   * @param timeline records changes of state
   * @param invariants checks invariants at run time
   * @param registry registry of metrics
   */
  public record ProcessServices(
      ControlThread control,
      Timeline timeline,
      InvariantChecker invariants,
      MetricRegistry registry) {}

  /**
   * Services of the platform that a proxy uses.
   *
   * @param keyValues stores the configuration
   * @param directory provides the host list
   */
  public record PlatformServices(KeyValueService keyValues, HostDirectory directory) {}

  /** Starts to follow configuration and host list, and to serve callers. */
  public void start() {
    feed.addListener(this::fleetChanged);
    feed.start();
    Future<?> ticker = control.scheduleRepeatedly(TICK, this::tick);
    closer.register(() -> ticker.cancel(false));
    Future<?> purging = control.scheduleRepeatedly(PURGE_PAUSE, this::purgeKeys);
    closer.register(() -> purging.cancel(false));
    http.start();
    closer.register(http);
  }

  /** Applies a new configuration version or host list, on the control thread. */
  private void fleetChanged() {
    long known = fleet.version().map(version -> version.version()).orElse(0L);
    long offered = feed.current().map(version -> version.version()).orElse(0L);
    if (!invariants.check(
        Invariant.VERSION_MONOTONIC,
        offered >= known,
        () -> "configuration version " + offered + " received after version " + known)) {
      return;
    }
    feed.current().ifPresent(kinds::add);
    fleet = new FleetSnapshot(feed.current(), feed.hosts());
    homes.update(fleet);
  }

  private void tick() {
    isolated = feed.isolated(control.nowNanos());
    homes.tick();
  }

  /**
   * Deletes old idempotency records of the groups whose first home is this proxy, so that no two
   * proxies delete the same records.
   */
  private void purgeKeys() {
    if (draining || fleet.version().isEmpty()) {
      return;
    }
    FleetFile file = fleet.version().get().file();
    for (String group : file.groups().keySet()) {
      List<Host> order = fleet.homes(group);
      if (!order.isEmpty() && order.get(0).id().equals(options.hostId())) {
        var unused = purger.purge(group, file);
      }
    }
  }

  private CompletionStage<Envelope.Builder> answerPeer(Envelope request) {
    return peerRequests.handle(request);
  }

  /** Returns why new requests are refused; empty if they are accepted. */
  private Optional<PollensparError> refusal() {
    if (draining) {
      return Optional.of(PollensparError.of(ErrorKind.DRAINING));
    }
    return isolated
        ? Optional.of(PollensparError.of(ErrorKind.CONFIGURATION_STALE, ISOLATION_MILLIS))
        : Optional.empty();
  }

  public int callersPort() {
    return http.port();
  }

  public ProxyState state() {
    if (draining) {
      return ProxyState.DRAINING;
    }
    return fleet.version().isPresent() ? ProxyState.SERVING : ProxyState.STARTING;
  }

  /** Returns the homes of a group according to this proxy's host list. */
  List<Host> homes(String group) {
    return fleet.homes(group);
  }

  /** Returns the JSON of the status page for operators. */
  public CompletableFuture<ObjectNode> status() {
    return control
        .call(homes::reports)
        .thenApply(reports -> statusReport.write(state(), fleet, reports));
  }

  /**
   * Stops accepting requests, waits until those in progress are finished or the drain timeout has
   * passed, and closes the proxy.
   */
  public void drain() {
    feed.setLeaving(true);
    draining = true;
    http.stopAccepting();
    callOnControlThread(
        () -> {
          homes.drain();
          return true;
        });
    new Drainer(options.drainTimeout(), this::running, invariants, timeline).await();
    close();
  }

  private int running() {
    return callers.running() + peerRequests.running() + callOnControlThread(homes::running);
  }

  private <T> T callOnControlThread(Supplier<T> function) {
    return control.call(function).orTimeout(CONTROL_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
  }

  private static ThreadFactory daemonThreads(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }

  /** Closes the proxy without waiting for requests in progress; later calls do nothing. */
  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    callOnControlThread(
        () -> {
          homes.close();
          return true;
        });
    closer.close();
  }

  /** Gives other threads access to the homes of this proxy. */
  private final class HomeAccess implements LocalHomes {
    @Override
    public CompletableFuture<Optional<Outcome>> submit(WorkRequest request) {
      return control.call(() -> homes.submit(request)).thenCompose(Function.identity());
    }

    @Override
    public int queueLength(String group) {
      return homes.lastQueueLength(group);
    }
  }
}
