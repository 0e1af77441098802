package org.pollenspar.failover.process;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.pollenspar.core.process.Closer;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.ErrorReporter;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.core.version.VersionHolder;
import org.pollenspar.net.connection.NettyPeerNetwork;
import org.pollenspar.net.connection.PeerHandler;
import org.pollenspar.net.process.AdminService;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.net.process.ErrorLog;
import org.pollenspar.net.process.MetricsText;
import org.pollenspar.net.process.PlatformHttpClient;
import org.pollenspar.net.process.ProcessSettings;
import org.pollenspar.net.process.Setting;
import org.pollenspar.net.version.FleetFeed;
import org.pollenspar.wire.Envelope;

/**
 * The process of a failover agent: creates the agent and what it depends on, starts them and closes
 * them in reverse order.
 */
public final class FailoverProgram implements AutoCloseable {
  private static final System.Logger LOGGER = System.getLogger(FailoverProgram.class.getName());
  private static final int PEER_THREADS = 1;
  private static final int MAX_PENDING_REQUESTS = 1024;

  private final Closer closer = new Closer();

  /** Starts an agent. If a part fails to start, closes the parts that were started. */
  public FailoverProgram(ProcessSettings settings) {
    try {
      start(settings);
    } catch (RuntimeException e) {
      closer.close();
      throw e;
    }
  }

  @Override
  public void close() {
    closer.close();
  }

  private void start(ProcessSettings settings) {
    String id = settings.text(Setting.ID);
    HybridClock clock = new HybridClock(System::currentTimeMillis);
    Timeline timeline = new Timeline(id, clock, settings.number(Setting.TIMELINE_CAPACITY));
    ErrorReporter reporter = new ErrorReporter(List.of(new ErrorLog(LOGGER, System::nanoTime)));
    InvariantChecker invariants = new InvariantChecker(reporter, timeline);
    MetricRegistry metrics = new MetricRegistry();
    ControlThread control =
        closer.register(
            new ControlThread(
                "control",
                failure ->
                    LOGGER.log(
                        System.Logger.Level.ERROR, "task on the control thread failed", failure)));
    ExecutorService blocking = Executors.newCachedThreadPool(FailoverProgram::newDaemonThread);
    closer.register(blocking::shutdownNow);
    PlatformHttpClient platform = new PlatformHttpClient(settings.platformUrl());
    CompletableFuture<FleetFeed> feedReady = new CompletableFuture<>();
    NettyPeerNetwork network =
        closer.register(
            new NettyPeerNetwork(
                id, clock, PEER_THREADS, MAX_PENDING_REQUESTS, peerHandler(feedReady)));
    FleetFeed feed =
        closer.register(
            new FleetFeed(
                id,
                settings.text(Setting.DOMAIN),
                platform,
                platform,
                network,
                control,
                new SplittableRandom(),
                timeline,
                new VersionHolder()));
    feedReady.complete(feed);
    AgentContext context =
        new AgentContext(id, control, blocking, network, platform, platform, timeline, metrics);
    FailoverAgent agent = closer.register(new FailoverAgent(context, feed));
    AdminService admin =
        closer.register(
            new AdminService(
                settings.listenAddress(Setting.ADMIN_PORT),
                () -> status(id, settings.text(Setting.DOMAIN), feed, agent, control, invariants),
                () -> feed.current().isPresent(),
                new MetricsText(metrics, reporter, invariants),
                timeline));
    network.listen(settings.listenAddress(Setting.PEER_PORT));
    admin.start();
    feed.start();
    agent.start();
    timeline.record("process_started", id, "failover agent");
    LOGGER.log(System.Logger.Level.INFO, "failover agent {0} started", id);
  }

  /** Peers may only request the gossip of the configuration and the host list from an agent. */
  private static PeerHandler peerHandler(CompletableFuture<FleetFeed> feedReady) {
    return request ->
        switch (request.getBodyCase()) {
          case DIGEST, FETCH_VALUE -> feedReady.thenCompose(feed -> feed.handle(request));
          default -> rejectUnsupported(request);
        };
  }

  private static CompletionStage<Envelope.Builder> rejectUnsupported(Envelope request) {
    return CompletableFuture.failedFuture(
        PollensparError.of(ErrorKind.NO_SUCH_ENDPOINT, request.getBodyCase()).asException());
  }

  private static CompletionStage<ObjectNode> status(
      String id,
      String domain,
      FleetFeed feed,
      FailoverAgent agent,
      ControlThread control,
      InvariantChecker invariants) {
    return control.call(
        () -> {
          ObjectNode root = JsonNodeFactory.instance.objectNode().put("process", id);
          root.put("role", "failover").put("domain", domain);
          root.put("state", feed.current().isPresent() ? "serving" : "starting");
          root.put("config_version", feed.current().map(v -> v.version()).orElse(0L));
          root.put("host_list_revision", feed.hosts().revision());
          ObjectNode groups = root.putObject("watched_groups");
          agent.status().forEach(groups::put);
          ObjectNode counts = root.putObject("invariants");
          for (Invariant invariant : Invariant.values()) {
            counts
                .putObject(invariant.promise())
                .put("checks", invariants.checks(invariant))
                .put("violations", invariants.violations(invariant));
          }
          return root;
        });
  }

  private static Thread newDaemonThread(Runnable task) {
    Thread thread = new Thread(task, "platform-call");
    thread.setDaemon(true);
    return thread;
  }
}
