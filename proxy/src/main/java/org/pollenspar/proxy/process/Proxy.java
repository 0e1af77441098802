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

/** One proxy process: wires its parts, and starts, drains and closes them. */
public final class Proxy implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 256 * 1024;
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration TICK = Duration.ofMillis(5);
  private static final Duration PURGE_PAUSE = Duration.ofSeconds(10);
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
   * Wires a proxy; {@link #start} opens its sockets for callers.
   *
   * @param common what all programs have: control thread, time line, invariants, metrics
   * @param platform the platform's services
   * @param peerNetworks opens the network for other processes, with the handler of their requests
   */
  public Proxy(
      ProxyOptions options,
      ProcessServices common,
      PlatformServices platform,
      Function<PeerHandler, PeerNetwork> peerNetworks) {
    this.options = options;
    this.control = common.control();
    this.invariants = common.invariants();
    this.timeline = common.timeline();
    MetricRegistry registry = common.registry();
    this.statusReport = new StatusReport(options, invariants, registry);
    IdentifierGenerator ids = new IdentifierGenerator();
    this.homes = new GroupHomes(options.hostId(), homeContext(options, common, ids), timeline);
    this.purger =
        new KeyPurger(
            new HomeAccess()::submit, ids::key, control::nowNanos, System::currentTimeMillis);
    ExecutorService answers =
        Executors.newFixedThreadPool(options.threads(), daemonThreads("answer"));
    closer.register(answers::shutdownNow);
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
        new PeerRequestHandler(options.domain(), control, homes, kinds, feed::handle, answers);
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
            answers);
    this.http =
        new HttpService(
            "callers", options.callers(), MAX_BODY_BYTES, READ_TIMEOUT, options.threads(), callers);
  }

  private static HomeContext homeContext(
      ProxyOptions options, ProcessServices common, IdentifierGenerator ids) {
    PoolContext pools =
        new PoolContext(
            common.control(),
            options.login(),
            daemonThreads("database"),
            common.invariants(),
            ConnectionMetrics.in(common.registry()));
    return new HomeContext(
        pools,
        options.policy(),
        options.domain(),
        common.timeline(),
        new HomeMetrics(common.registry()),
        ids::nonce,
        System::currentTimeMillis);
  }

  /**
   * What every program of pollenspar has.
   *
   * @param control owner of all decision state
   * @param timeline receives changes of state
   * @param invariants checks of the promises
   * @param registry metrics
   */
  public record ProcessServices(
      ControlThread control,
      Timeline timeline,
      InvariantChecker invariants,
      MetricRegistry registry) {}

  /**
   * The platform's services that a proxy uses.
   *
   * @param keyValues holds the configuration
   * @param directory holds the host list
   */
  public record PlatformServices(KeyValueService keyValues, HostDirectory directory) {}

  /** Begins to follow the fleet and to serve callers. */
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

  /** Called on the control thread. */
  private void fleetChanged() {
    long known = fleet.version().map(version -> version.version()).orElse(0L);
    long offered = feed.current().map(version -> version.version()).orElse(0L);
    if (!invariants.check(
        Invariant.VERSION_MONOTONIC,
        offered >= known,
        () -> "version " + offered + " after " + known)) {
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

  /** Purges at the first home of each group only, so that no two proxies delete the same keys. */
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

  /** Returns why new work is refused; empty if it is taken. */
  private Optional<PollensparError> refusal() {
    if (draining) {
      return Optional.of(PollensparError.of(ErrorKind.DRAINING));
    }
    return isolated
        ? Optional.of(PollensparError.of(ErrorKind.CONFIGURATION_STALE, ISOLATION_MILLIS))
        : Optional.empty();
  }

  /** Returns the port for callers. */
  public int callersPort() {
    return http.port();
  }

  /** Returns where the proxy is in its life. */
  public ProxyState state() {
    if (draining) {
      return ProxyState.DRAINING;
    }
    return fleet.version().isPresent() ? ProxyState.SERVING : ProxyState.STARTING;
  }

  /** Returns the homes of a group by this proxy's host list. */
  List<Host> homes(String group) {
    return fleet.homes(group);
  }

  /** Returns the status for operators. */
  public CompletableFuture<ObjectNode> status() {
    return control
        .call(homes::reports)
        .thenApply(reports -> statusReport.write(state(), fleet, reports));
  }

  /** Takes no more work, finishes what is running within the drain timeout, and closes. */
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

  /** Closes everything at once. */
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

  /** Reaches the homes of this proxy from other threads. */
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
