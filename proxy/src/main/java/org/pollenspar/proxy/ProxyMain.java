package org.pollenspar.proxy;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.pollenspar.core.process.Closer;
import org.pollenspar.core.process.ErrorReporter;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.net.connection.NettyPeerNetwork;
import org.pollenspar.net.connection.PeerHandler;
import org.pollenspar.net.connection.PeerNetwork;
import org.pollenspar.net.process.AdminService;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.net.process.ErrorLog;
import org.pollenspar.net.process.Launcher;
import org.pollenspar.net.process.MetricsText;
import org.pollenspar.net.process.PlatformHttpClient;
import org.pollenspar.net.process.ProcessSettings;
import org.pollenspar.net.process.ProgramName;
import org.pollenspar.net.process.Setting;
import org.pollenspar.proxy.connection.DatabaseLogin;
import org.pollenspar.proxy.connection.HomePolicy;
import org.pollenspar.proxy.process.Proxy;
import org.pollenspar.proxy.process.ProxyOptions;
import org.pollenspar.proxy.process.ProxyState;

/** Main class of {@code pollenspar-proxy}: serves callers until SIGTERM or SIGINT. */
public final class ProxyMain {
  private static final System.Logger LOGGER = System.getLogger(ProxyMain.class.getName());
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int CALLER_THREADS = 4;
  private static final int PEER_THREADS = 2;

  /** Limits the memory for requests that wait for an answer of a peer. */
  private static final int MAX_PENDING_PEER_REQUESTS = 20_000;

  private ProxyMain() {}

  /** Starts the program; see {@code --help}. */
  public static void main(String[] args) {
    Launcher launcher = new Launcher(ProgramName.PROXY, System.out, System.err);
    int code = launcher.run(args, ProxyMain::serve);
    if (code != Launcher.EXIT_OK) {
      Runtime.getRuntime().halt(code);
    }
  }

  private static void serve(ProcessSettings settings) throws InterruptedException {
    ProxyOptions options = options(settings);
    HybridClock clock = new HybridClock(System::currentTimeMillis);
    Timeline timeline =
        new Timeline(options.hostId(), clock, settings.number(Setting.TIMELINE_CAPACITY));
    ErrorReporter reporter = new ErrorReporter(List.of(new ErrorLog(LOGGER, System::nanoTime)));
    InvariantChecker invariants = new InvariantChecker(reporter, timeline);
    MetricRegistry registry = new MetricRegistry();
    Closer closer = new Closer();
    ControlThread control =
        closer.register(
            new ControlThread(
                "control",
                e ->
                    LOGGER.log(
                        System.Logger.Level.ERROR, "Uncaught exception in a control task.", e)));
    PlatformHttpClient platform = new PlatformHttpClient(settings.platformUrl());
    InetSocketAddress peerAddress = settings.listenAddress(Setting.PEER_PORT);
    Proxy proxy =
        closer.register(
            new Proxy(
                options,
                new Proxy.ProcessServices(control, timeline, invariants, registry),
                new Proxy.PlatformServices(platform, platform),
                handler -> peers(options.hostId(), clock, peerAddress, handler)));
    AdminService admin =
        closer.register(
            new AdminService(
                options.operators(),
                proxy::status,
                () -> proxy.state() == ProxyState.SERVING,
                new MetricsText(registry, reporter, invariants),
                timeline));
    admin.start();
    proxy.start();
    LOGGER.log(System.Logger.Level.INFO, "Proxy {0} accepts callers.", options.hostId());
    awaitEnd(proxy, closer);
  }

  private static PeerNetwork peers(
      String id, HybridClock clock, InetSocketAddress address, PeerHandler handler) {
    NettyPeerNetwork network =
        new NettyPeerNetwork(id, clock, PEER_THREADS, MAX_PENDING_PEER_REQUESTS, handler);
    network.listen(address);
    return network;
  }

  private static ProxyOptions options(ProcessSettings settings) {
    return new ProxyOptions(
        settings.text(Setting.ID),
        settings.text(Setting.DOMAIN),
        settings.listenAddress(Setting.HTTP_PORT),
        settings.listenAddress(Setting.ADMIN_PORT),
        settings.text(Setting.SESSION_SECRET),
        new DatabaseLogin(
            settings.text(Setting.DATABASE_USER),
            settings.text(Setting.DATABASE_PASSWORD),
            settings.text(Setting.DATABASE_NAME),
            CONNECT_TIMEOUT),
        HomePolicy.ofName(settings.text(Setting.POLICY)).orElse(HomePolicy.STANDARD),
        Duration.ofMillis(settings.number(Setting.DRAIN_TIMEOUT_MS)),
        CALLER_THREADS);
  }

  /** Waits for SIGTERM or SIGINT and drains in a shutdown hook; the JVM ends when it returns. */
  private static void awaitEnd(Proxy proxy, Closer closer) throws InterruptedException {
    CountDownLatch ended = new CountDownLatch(1);
    Thread hook =
        new Thread(
            () -> {
              proxy.drain();
              closer.close();
              ended.countDown();
            },
            "drain");
    Runtime.getRuntime().addShutdownHook(hook);
    ended.await();
  }
}
