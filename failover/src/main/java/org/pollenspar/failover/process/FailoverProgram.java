package org.pollenspar.failover.process;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.pollenspar.core.process.Closer;
import org.pollenspar.core.process.ErrorReporter;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.core.version.VersionHolder;
import org.pollenspar.net.connection.NettyPeerNetwork;
import org.pollenspar.net.process.AdminService;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.net.process.ErrorLog;
import org.pollenspar.net.process.MetricsText;
import org.pollenspar.net.process.PlatformHttpClient;
import org.pollenspar.net.process.Setting;
import org.pollenspar.net.process.Settings;
import org.pollenspar.net.version.FleetFeed;
import org.pollenspar.wire.Envelope;

/** Puts the agent's parts together. */
public final class FailoverProgram implements AutoCloseable {
  private static final System.Logger LOGGER = System.getLogger("pollenspar.failover");
  private static final int PEER_THREADS = 1;
  private static final int MAX_PENDING = 1_000;

  private final Closer closer = new Closer();
  private final AtomicReference<FleetFeed> feed = new AtomicReference<>();
  private final AdminService admin;
  private final NettyPeerNetwork network;

  /** Creates and starts an agent. */
  public FailoverProgram(Settings settings) {
    String id = settings.text(Setting.ID);
    HybridClock clock = new HybridClock(System::currentTimeMillis);
    Timeline timeline = new Timeline(id, clock, settings.number(Setting.TIMELINE_CAPACITY));
    ErrorReporter errors = new ErrorReporter(List.of(new ErrorLog(LOGGER, System::nanoTime)));
    MetricRegistry registry = new MetricRegistry();
    ControlThread control =
        closer.register(
            new ControlThread(
                "control", e -> LOGGER.log(System.Logger.Level.ERROR, "Control task failed", e)));
    PlatformHttpClient platform = new PlatformHttpClient(settings.platformUrl());
    network =
        closer.register(
            new NettyPeerNetwork(id, clock, PEER_THREADS, MAX_PENDING, this::answerPeer));
    String domain = settings.text(Setting.DOMAIN);
    FleetFeed fleet =
        closer.register(
            new FleetFeed(
                id,
                domain,
                platform,
                platform,
                network,
                control,
                new Random(),
                timeline,
                new VersionHolder()));
    feed.set(fleet);
    PlatformCalls calls = new PlatformCalls(id, platform, platform);
    FailoverAgent agent =
        closer.register(
            new FailoverAgent(id, domain, fleet, network, calls, control, timeline, registry));
    admin =
        closer.register(
            new AdminService(
                settings.listener(Setting.ADMIN_PORT),
                agent::status,
                agent::ready,
                new MetricsText(registry, errors, new InvariantChecker(errors, timeline)),
                timeline));
    start(settings, fleet, agent);
  }

  private void start(Settings settings, FleetFeed fleet, FailoverAgent agent) {
    try {
      network.listen(settings.listener(Setting.PEER_PORT));
      admin.start();
      agent.start();
      fleet.start();
    } catch (RuntimeException e) {
      close();
      throw e;
    }
    LOGGER.log(
        System.Logger.Level.INFO,
        "Agent {0} started, operators'' port {1}",
        settings.text(Setting.ID),
        String.valueOf(admin.port()));
  }

  private CompletionStage<Envelope.Builder> answerPeer(Envelope request) {
    FleetFeed fleet = feed.get();
    return fleet == null
        ? CompletableFuture.failedFuture(new IllegalStateException("starting"))
        : fleet.handle(request);
  }

  /** Runs an agent until the process is told to end. */
  public static void run(Settings settings) throws InterruptedException {
    FailoverProgram program = new FailoverProgram(settings);
    CountDownLatch ended = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  program.close();
                  ended.countDown();
                },
                "shutdown"));
    ended.await();
  }

  /** Stops the agent. A lease that it holds lapses by itself. */
  @Override
  public void close() {
    closer.close();
  }
}
