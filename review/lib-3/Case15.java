import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer puts an entry under servers/ that lacks the fields config_version, sequence,
 * warmup_left_ms and born, and says primary. Two seconds later all hosts are killed at the same
 * moment, and are back after a second. Of the requests that are sent later than recovery_s after
 * that, a quarter must be served. Without TROUBLE, the same without the entry.
 */
public final class Case15 {
  private static final long RECOVERY_MS = 12_000;
  private static final long WATCHED_MS = 5_000;

  /** Nothing listens at the address. */
  private static final String FOREIGN =
      "{\"service\":\"ledger\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\",\"capacity\":3,"
          + "\"state\":\"ready\",\"db_role\":\"primary\"}";

  private static final AtomicBoolean stop = new AtomicBoolean();
  private static final AtomicInteger sent = new AtomicInteger();
  private static final AtomicInteger served = new AtomicInteger();
  private static final Map<String, AtomicInteger> errors = new ConcurrentHashMap<>();

  private Case15() {}

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
      site.databases();
      site.configure(
          1,
          new Site.Route("till", "primary", 0, 800, 150, 0),
          new Site.Route("desk", "bounded", 1_500, 2_000, 1_000, 2));
      Edge first = site.edge("edge-a-1", 6);
      Edge second = site.edge("edge-a-2", 6);
      first.awaitReady(20);
      second.awaitReady(20);
      record.line("edge-a-1 and edge-a-2 are ready");
      for (int i = 0; i < 20; i++) {
        int number = i;
        Database.start("client-" + i, () -> work(first, number));
      }
      report(record, 25);
      int before = served.get();
      if (trouble) {
        String entry = FOREIGN.formatted(Edge.freePort());
        site.store.write("servers/x-foreign-1", entry);
        record.line("another writer writes servers/x-foreign-1: " + entry);
        report(record, 2);
      }
      first.signal("KILL");
      second.signal("KILL");
      record.line("edge-a-1 and edge-a-2 are killed");
      Thread.sleep(1_000);
      first.start();
      second.start();
      record.line("edge-a-1 and edge-a-2 are started again");
      report(record, (int) (RECOVERY_MS / 1_000));
      sent.set(0);
      served.set(0);
      report(record, (int) (WATCHED_MS / 1_000));
      record.line(
          "of " + sent.get() + " requests sent later than " + RECOVERY_MS + " ms after the start, "
              + served.get() + " were served; " + before + " were before");
      broken = 4 * served.get() < sent.get();
      report(record, 8);
      stop.set(true);
    }
    record.line(broken ? "BROKEN" : "HELD");
    System.exit(broken ? 1 : 0);
  }

  private static void work(Edge edge, int number) {
    int count = 0;
    while (!stop.get()) {
      String database = number % 2 == 0 ? "till" : "desk";
      try (Client client = new Client(edge.callers, database, 3_000)) {
        while (!stop.get()) {
          Database.sleep(50);
          String text =
              number % 2 == 0 && count++ % 4 == 0 ? "WRITE k" + number + " v" + count : "READ k1";
          sent.incrementAndGet();
          Client.Answer answer = client.query(text);
          if (answer.ok()) {
            served.incrementAndGet();
          } else {
            count(answer.result().replaceAll("[0-9]+", "N"));
          }
        }
      } catch (IOException e) {
        count(String.valueOf(e.getMessage()));
        Database.sleep(200);
      }
    }
  }

  private static void count(String error) {
    errors.computeIfAbsent(error, key -> new AtomicInteger()).incrementAndGet();
  }

  private static void report(Record record, int seconds) throws InterruptedException {
    for (int i = 0; i < seconds; i++) {
      Thread.sleep(1_000);
      record.line("served so far " + served.get() + " of " + sent.get() + ", others " + errors);
      errors.clear();
    }
  }
}
