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
 * The platform: key-value service, host list and group API over HTTP, with fault injection. It
 * reaches the databases by their control ports, and orders the first primary of each group to lead
 * as soon as it answers.
 */
public final class PlatformStandin implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration DATABASE_TIMEOUT = Duration.ofMillis(300);
  private static final int HTTP_THREADS = 4;
  private static final long EXPIRY_PAUSE_MILLIS = 10;
  private static final long START_PAUSE_MILLIS = 100;

  private final Closer closer = new Closer();
  private final ObjectMapper json = new ObjectMapper();
  private final PlatformFaults faults = new PlatformFaults();
  private final CallCounters counters = new CallCounters();
  private final KeyValueStore store = new KeyValueStore();
  private final Map<String, GroupAuthority> groups = new LinkedHashMap<>();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(task -> daemon(task, "platform"));
  private final ScheduledExecutorService scheduler =
      Executors.newScheduledThreadPool(2, task -> daemon(task, "platform-timer"));
  private final HostRegistry hosts;
  private final HostListUpdater hostChanges;
  private final KeyValueApi keyValueApi;
  private final GroupApi groupApi;
  private final AdminApi adminApi;
  private final HttpService http;

  /** Starts the platform. */
  public PlatformStandin(InetSocketAddress address, Topology topology) {
    ControlClient client = new ControlClient(DATABASE_TIMEOUT);
    for (Topology.Group group : topology.groups()) {
      groups.put(group.name(), new GroupAuthority(group, client, threads));
    }
    hosts = new HostRegistry(topology.hosts());
    hostChanges = new HostListUpdater(hosts, faults, scheduler);
    keyValueApi = new KeyValueApi(store, faults, counters, PlatformStandin::nowMillis);
    groupApi = new GroupApi(groups, faults, counters, threads);
    adminApi = new AdminApi(faults, counters, hostChanges, store, groups, client);
    closer.register(threads::shutdownNow);
    closer.register(scheduler::shutdownNow);
    http =
        closer.register(
            new HttpService(
                "platform", address, MAX_BODY_BYTES, READ_TIMEOUT, HTTP_THREADS, this::handle));
    http.start();
    var unused =
        scheduler.scheduleWithFixedDelay(
            this::expire, EXPIRY_PAUSE_MILLIS, EXPIRY_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    groups.values().forEach(this::startFirstPrimary);
  }

  /** Returns the base URL for clients. */
  public URI baseUrl() {
    return URI.create("http://127.0.0.1:" + port());
  }

  /** Returns the port. */
  public int port() {
    return http.port();
  }

  /** Adds a host, or replaces the one with the same id. */
  public void addHost(Host host) {
    hostChanges.add(host);
  }

  /** Removes a host. */
  public void removeHost(String id) {
    hostChanges.remove(id);
  }

  /** Changes the state of a host. */
  public void changeHostState(String id, HostState state) {
    hostChanges.changeState(id, state);
  }

  /** Sets faults as {@code POST /admin/faults} does. */
  public void changeFaults(String faultsJson) throws JsonProcessingException {
    adminApi.changeFaults(json.readTree(faultsJson));
  }

  private CompletionStage<HttpReply> handle(HttpCall call) {
    try {
      return route(call).exceptionally(PlatformStandin::badRequest);
    } catch (JsonProcessingException | RuntimeException e) {
      return CompletableFuture.completedFuture(badRequest(e));
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
    return CompletableFuture.supplyAsync(() -> adminReply(call), threads);
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
      return CompletableFuture.completedFuture(KeyValueApi.DOWN);
    }
    long after = Long.parseLong(call.query().getOrDefault("after", "0"));
    long wait = Long.parseLong(call.query().getOrDefault("wait_ms", "0"));
    return hosts
        .watch(after, nowMillis() + wait)
        .thenApply(list -> HttpReply.json(200, HostListJson.write(list)));
  }

  private void startFirstPrimary(GroupAuthority group) {
    if (!group.startFirstPrimary() && !scheduler.isShutdown()) {
      var unused =
          scheduler.schedule(
              () -> startFirstPrimary(group), START_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void expire() {
    long now = nowMillis();
    store.expire(now);
    hosts.expire(now);
  }

  private static HttpReply badRequest(Throwable failure) {
    ObjectNode error = new ObjectMapper().createObjectNode();
    return HttpReply.json(400, error.put("error", String.valueOf(failure.getMessage())).toString());
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static Thread daemon(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  @Override
  public void close() {
    closer.close();
  }
}
