package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Most hosts of a zone are stopped by SIGTERM at the same time, as planned work. Fewer than half of
 * the zone's hosts are in rotation then, so the balancer goes on sending new connections to all of
 * them. No request that was passed on to a database may be cut.
 */
final class StoppedHosts {
  private static final int HOSTS = 7;
  private static final int STOPPED = 5;
  private static final long GRACE_MS = 6_000;
  private static final long WORK_MS = 30;
  private static final int OPERATIONS_PER_SECOND = 52 * HOSTS;

  /** The end of a request as its client saw it. */
  private record Cut(String id, Host host, long sentMillis, long endedMillis, String reason) {}

  private final Deployment deployment;
  private final List<Cut> cuts = new ArrayList<>();
  private final Map<Host, Integer> misses = new ConcurrentHashMap<>();
  private final Map<Host, Long> stoppedMillis = new ConcurrentHashMap<>();
  private volatile boolean ended;

  private StoppedHosts(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] arguments) {
    Deployment.run(arguments, deployment -> new StoppedHosts(deployment).play());
  }

  private int play() throws Exception {
    Group group = deployment.service("tokens", 3, 1_200);
    group.workMillis = WORK_MS;
    deployment.configure(
        4, List.of(new Deployment.Route("r-a", "ledger", "bounded", "tokens", 1_500)));
    List<String> names = new ArrayList<>();
    for (int i = 1; i <= HOSTS; i++) {
      names.add("edge-a-" + i);
    }
    deployment.startHosts(names.toArray(new String[0]));
    for (Host host : deployment.hosts) {
      Link.daemon("balancer", () -> probe(host));
    }
    Thread.sleep(6_000);
    ExecutorService clients = Executors.newCachedThreadPool();
    Thread traffic = new Thread(() -> traffic(clients));
    traffic.start();
    Thread.sleep(4_000);
    if (deployment.trouble) {
      for (Host host : deployment.hosts.subList(0, STOPPED)) {
        host.signal("TERM");
        stoppedMillis.put(host, deployment.record.millis());
        deployment.record.note("SIGTERM to " + host.name);
      }
    }
    Thread.sleep(GRACE_MS + 1_000);
    ended = true;
    traffic.join();
    clients.shutdown();
    clients.awaitTermination(10, TimeUnit.SECONDS);
    return judge(group);
  }

  /** Asks a host each second; it is out of rotation after two misses until it answers again. */
  private void probe(Host host) {
    while (!ended) {
      misses.merge(host, 1, (count, one) -> host.ready() ? 0 : count + 1);
      try {
        Thread.sleep(1_000);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Returns the hosts that get new connections; all if fewer than half are in rotation. */
  private List<Host> targets() {
    List<Host> rotation = new ArrayList<>();
    for (Host host : deployment.hosts) {
      if (misses.getOrDefault(host, 0) < 2) {
        rotation.add(host);
      }
    }
    return 2 * rotation.size() < deployment.hosts.size() ? deployment.hosts : rotation;
  }

  private void traffic(ExecutorService clients) {
    Random random = new Random(7);
    long startNanos = System.nanoTime();
    for (int i = 0; !ended; i++) {
      List<Host> targets = targets();
      Host host = targets.get(random.nextInt(targets.size()));
      String id = "op-" + i;
      clients.execute(() -> operation(host, id));
      long dueNanos = startNanos + 1_000_000_000L * (i + 1) / OPERATIONS_PER_SECOND;
      try {
        TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** A session that serves a single operation. */
  private void operation(Host host, String id) {
    Client client;
    try {
      client = new Client(host.callers, "ledger", deployment.record);
    } catch (IOException e) {
      deployment.record.line("no session for " + id + " at " + host.name + ": " + e.getMessage());
      return;
    }
    long sent = deployment.record.millis();
    try {
      client.query(id, "READ item-1");
    } catch (IOException e) {
      synchronized (cuts) {
        cuts.add(new Cut(id, host, sent, deployment.record.millis(), e.getMessage()));
      }
      deployment.record.line("cut " + id + " at " + host.name + ": " + e.getMessage());
    } finally {
      client.close();
    }
  }

  /** Counts requests that reached a database and were cut, and that RULES.md doesn't excuse. */
  private int judge(Group group) {
    int lost = 0;
    synchronized (group) {
      for (Cut cut : cuts) {
        Group.Run run =
            group.runs.stream().filter(each -> each.id().equals(cut.id())).findFirst().orElse(null);
        Long stopped = stoppedMillis.get(cut.host());
        if (run == null || stopped == null) {
          continue;
        }
        long afterStop = cut.sentMillis() - stopped;
        long lastSixth = stopped + GRACE_MS * 5 / 6;
        boolean excused = afterStop <= 3_000 && run.atMillis() >= lastSixth;
        deployment.record.note(
            (excused ? "excused: " : "LOST: ") + cut.id() + ", sent to " + cut.host().name + " "
                + afterStop + " ms after its SIGTERM, ran at " + run.database()
                + "; the connection ended without an answer " + (cut.endedMillis() - stopped)
                + " ms after the SIGTERM");
        lost += excused ? 0 : 1;
      }
      deployment.record.note(
          group.runs.size() + " statements were run, " + cuts.size() + " requests were cut");
    }
    return lost;
  }
}
