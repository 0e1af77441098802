package org.pollenspar.standin.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.pollenspar.core.process.Closer;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostState;
import org.pollenspar.net.process.HostListJson;
import org.pollenspar.net.process.HttpService;
import org.pollenspar.net.request.HttpCall;
import org.pollenspar.net.request.HttpReply;
import org.pollenspar.standin.version.HostRegistry;
import org.pollenspar.standin.version.KeyValueStore;

/**
 * Stand-in of the platform: key-value service, host list and group API over HTTP, with fault
 * injection below {@code /admin}. It calls the databases at their control ports, and promotes the
 * first primary of each group as soon as that database replies.
 *
 * <p>Calls that may wait for a database run on the executor, so that the threads of the HTTP server
 * stay free. Leases and watches expire by a monotonic clock.
 */
public final class PlatformStandin implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration DATABASE_CALL_TIMEOUT = Duration.ofMillis(300);
  private static final int HTTP_THREADS = 4;
  private static final long EXPIRY_INTERVAL_MILLIS = 10;
  private static final long PROMOTION_RETRY_MILLIS = 100;

  private final Closer closer = new Closer();
  private final ObjectMapper json = new ObjectMapper();
  private final PlatformFaults faults = new PlatformFaults();
  private final CallCounters counters = new CallCounters();
  private final KeyValueStore store = new KeyValueStore();
  private final Map<String, GroupAuthority> groups = new LinkedHashMap<>();
  private final ExecutorService executor =
      Executors.newCachedThreadPool(task -> daemonThread(task, "platform"));
  private final ScheduledExecutorService scheduler =
      Executors.newScheduledThreadPool(2, task -> daemonThread(task, "platform-timer"));
  private final HostRegistry hosts;
  private final HostListUpdater hostListUpdater;
  private final KeyValueApi keyValueApi;
  private final GroupApi groupApi;
  private final AdminApi adminApi;
  private final HttpService http;

  public PlatformStandin(InetSocketAddress address, Topology topology) {
    ControlClient client = new ControlClient(DATABASE_CALL_TIMEOUT);
    for (Topology.Group group : topology.groups()) {
      groups.put(group.name(), new GroupAuthority(group, client, executor));
    }
    hosts = new HostRegistry(topology.hosts());
    hostListUpdater = new HostListUpdater(hosts, faults, scheduler);
    keyValueApi = new KeyValueApi(store, faults, counters, PlatformStandin::nowMillis);
    groupApi = new GroupApi(groups, faults, counters, executor);
    adminApi = new AdminApi(faults, counters, hostListUpdater, store, groups, client);
    closer.register(executor::shutdownNow);
    closer.register(scheduler::shutdownNow);
    http =
        closer.register(
            new HttpService(
                "platform", address, MAX_BODY_BYTES, READ_TIMEOUT, HTTP_THREADS, this::handle));
    http.start();
    var unused =
        scheduler.scheduleWithFixedDelay(
            this::expire, EXPIRY_INTERVAL_MILLIS, EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    groups.values().forEach(this::promoteFirstPrimary);
  }

  public URI baseUrl() {
    return URI.create("http://127.0.0.1:" + port());
  }

  public int port() {
    return http.port();
  }

  /** Adds a host, or replaces the one with the same id. */
  public void addHost(Host host) {
    hostListUpdater.add(host);
  }

  public void removeHost(String id) {
    hostListUpdater.remove(id);
  }

  public void changeHostState(String id, HostState state) {
    hostListUpdater.setState(id, state);
  }

  /** Sets faults from a JSON object, as {@code POST /admin/faults} does. */
  public void changeFaults(String faultsJson) throws JsonProcessingException {
    adminApi.changeFaults(json.readTree(faultsJson));
  }

  private CompletionStage<HttpReply> handle(HttpCall call) {
    try {
      return route(call).exceptionally(PlatformStandin::badRequestReply);
    } catch (JsonProcessingException | RuntimeException e) {
      return CompletableFuture.completedFuture(badRequestReply(e));
    }
  }

  private CompletableFuture<HttpReply> route(HttpCall call) throws JsonProcessingException {
    String path = call.path();
    if (path.startsWith("/kv/") || path.startsWith("/leases")) {
      return keyValueApi.handle(call);
    }
    if (path.equals("/hosts")) {
      return hostList(call);
    }
    if (path.startsWith("/groups/")) {
      return groupApi.handle(call);
    }
    return CompletableFuture.supplyAsync(() -> adminReply(call), executor);
  }

  private HttpReply adminReply(HttpCall call) {
    try {
      return adminApi.handle(call);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private CompletableFuture<HttpReply> hostList(HttpCall call) {
    boolean watching = call.query().containsKey("after");
    counters.count(watching ? "hosts_watch" : "hosts_read");
    if (faults.hostsDown) {
      return CompletableFuture.completedFuture(KeyValueApi.SERVICE_DOWN);
    }
    long after = Long.parseLong(call.query().getOrDefault("after", "0"));
    long waitMillis = Long.parseLong(call.query().getOrDefault("wait_ms", "0"));
    return hosts
        .watch(after, nowMillis() + waitMillis)
        .thenApply(list -> HttpReply.json(200, HostListJson.write(list)));
  }

  private void promoteFirstPrimary(GroupAuthority group) {
    if (!group.promoteFirstPrimary() && !scheduler.isShutdown()) {
      var unused =
          scheduler.schedule(
              () -> promoteFirstPrimary(group), PROMOTION_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void expire() {
    long now = nowMillis();
    store.expire(now);
    hosts.expire(now);
  }

  private static HttpReply badRequestReply(Throwable failure) {
    ObjectNode error = new ObjectMapper().createObjectNode();
    return HttpReply.json(400, error.put("error", String.valueOf(failure.getMessage())).toString());
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static Thread daemonThread(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  @Override
  public void close() {
    closer.close();
  }
}
