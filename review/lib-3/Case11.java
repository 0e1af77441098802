import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers read all the time, more than the databases can do at once, and one primary goes dark.
 * Each statement whose line the host has received must be answered, or its connection closed,
 * within the time limit of its route.
 */
public final class Case11 {
  private static final int SESSIONS = 400;
  private static final int ROUTE_TIMEOUT_MS = 2_000;

  /** Five times the time limit of the route; no statement may take longer in any case. */
  private static final int LIMIT_MS = 10_000;

  private static final int DARK_MS = 7_000;
  private static final ConcurrentLinkedQueue<String> unanswered = new ConcurrentLinkedQueue<>();
  private static final AtomicInteger answered = new AtomicInteger();
  private static final Map<String, AtomicInteger> errors = new ConcurrentHashMap<>();
  private static final AtomicBoolean stop = new AtomicBoolean();

  private Case11() {}

  public static void main(String[] arguments) {
    try {
      run(new Record(Path.of(arguments[0])));
    } catch (Exception e) {
      e.printStackTrace();
      System.exit(2);
    }
  }

  private static void run(Record record) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    boolean broken;
    try (Site site = new Site(record)) {
      site.group.maxConnections = 46;
      site.group.workMillis = 2;
      site.databases();
      site.configure(
          1, new Site.Route("desk", "bounded", 1_500, ROUTE_TIMEOUT_MS, 1_000, 0));
      Edge edge = site.edge("edge-a-1", 6);
      edge.awaitReady(20);
      record.line("edge-a-1 is ready");
      Thread.sleep(4_000);
      for (int i = 0; i < SESSIONS; i++) {
        int number = i;
        Database.start("client-" + i, () -> readAllTheTime(record, edge, number));
      }
      watch(record, site, 8);
      if (trouble) {
        Database primary = site.group.primary();
        site.dark(primary);
        watch(record, site, DARK_MS / 1_000);
        primary.dark = false;
        record.line(primary.id + " is back");
      }
      watch(record, site, 14);
      stop.set(true);
      Thread.sleep(LIMIT_MS + 1_000);
      broken = !unanswered.isEmpty();
      record.line("process alive " + edge.process.isAlive() + ", ready " + edge.ready());
      record.line("statements without an answer and with an open connection after " + LIMIT_MS
          + " ms: " + unanswered.size());
    }
    record.line(broken ? "BROKEN" : "HELD");
    System.exit(broken ? 1 : 0);
  }

  private static void readAllTheTime(Record record, Edge edge, int number) {
    while (!stop.get()) {
      String id = "";
      long sent = 0;
      try (Client client = new Client(edge.callers, "desk", LIMIT_MS)) {
        while (!stop.get()) {
          id = Client.nextId();
          sent = System.nanoTime();
          client.begin(id, "READ k" + number % 100);
          Client.Answer answer = client.await();
          id = "";
          answered.incrementAndGet();
          if (!answer.ok()) {
            count(answer.result().replaceAll("[0-9]+", "N"));
            Thread.sleep(50);
          }
        }
      } catch (SocketTimeoutException e) {
        if (!id.isEmpty()) {
          unanswered.add(id);
          record.line(
              "session " + number + ": QUERY " + id + " sent "
                  + (System.nanoTime() - sent) / 1_000_000 + " ms ago has no answer");
        }
      } catch (IOException e) {
        count(String.valueOf(e.getMessage()));
        Database.sleep(100);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void count(String error) {
    errors.computeIfAbsent(error, key -> new AtomicInteger()).incrementAndGet();
  }

  private static void watch(Record record, Site site, int seconds) throws InterruptedException {
    for (int i = 0; i < seconds; i++) {
      Thread.sleep(1_000);
      List<String> ran =
          site.group.all.stream().map(each -> each.id + " " + each.ran.getAndSet(0)).toList();
      record.line(
          "answered " + answered.getAndSet(0) + ", run " + ran + ", other answers " + errors);
      errors.clear();
    }
  }
}
