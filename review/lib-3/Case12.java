import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers prepare a statement, execute it and close it, again and again. With TROUBLE, each
 * statement has a text of its own; without, each session uses one text. The process must go on
 * serving: another caller, who connects and reads one item each half second, must not be left
 * without any answer for ten seconds.
 */
public final class Case12 {
  private static final int SESSIONS = 20;

  /** Characters of a prepared statement; the protocol allows messages of 1 MiB. */
  private static final int SHAPE_BYTES = 4_000;

  private static final int MAX_SECONDS = 80;
  private static final int MAX_STATEMENTS = 200_000;
  private static final int TIMEOUT_MS = 3_000;
  private static final int LIMIT_MS = 10_000;
  private static volatile long lastReadNanos;
  private static volatile long longestGapMillis;
  private static final AtomicBoolean stop = new AtomicBoolean();
  private static final AtomicBoolean ended = new AtomicBoolean();
  private static final AtomicInteger answered = new AtomicInteger();
  private static final AtomicInteger prepared = new AtomicInteger();
  private static final Map<String, AtomicInteger> errors = new ConcurrentHashMap<>();

  private Case12() {}

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
      site.configure(1, new Site.Route("desk", "primary", 0, TIMEOUT_MS, 1_000, 0));
      Edge edge = site.edge("edge-a-1", 6);
      edge.awaitReady(20);
      record.line("edge-a-1 is ready");
      Thread.sleep(3_000);
      for (int i = 0; i < SESSIONS; i++) {
        int number = i;
        Database.start("client-" + i, () -> prepareAndExecute(edge, number, trouble));
      }
      long ends = System.nanoTime() + MAX_SECONDS * 1_000_000_000L;
      lastReadNanos = System.nanoTime();
      Database.start("bystander", () -> readNowAndThen(record, edge));
      while (System.nanoTime() < ends
          && (System.nanoTime() - lastReadNanos) / 1_000_000 < LIMIT_MS
          && prepared.get() < MAX_STATEMENTS) {
        Thread.sleep(1_000);
        record.line(
            "EXECUTE answered " + answered.getAndSet(0) + ", prepared so far " + prepared.get()
                + ", other answers " + errors);
        errors.clear();
      }
      // Callers have stopped sending statements of their own; a hang that began before goes on.
      stop.set(true);
      for (int i = 0; i < 12 && gapMillis() > 1_500 && gapMillis() < LIMIT_MS; i++) {
        Thread.sleep(1_000);
      }
      ended.set(true);
      record.line("process alive " + edge.process.isAlive() + ", ready " + edge.ready());
      record.line("longest time in which no read of the other caller was answered: "
          + longestGapMillis + " ms");
      broken = Math.max(longestGapMillis, gapMillis()) >= LIMIT_MS;
      record.line("errors in the output of the process: " + edge.errors());
    }
    record.line(broken ? "BROKEN" : "HELD");
    System.exit(broken ? 1 : 0);
  }

  private static long gapMillis() {
    return (System.nanoTime() - lastReadNanos) / 1_000_000;
  }

  private static void readNowAndThen(Record record, Edge edge) {
    while (!ended.get()) {
      String result;
      try (Client client = new Client(edge.callers, "desk", 2_000)) {
        Client.Answer answer = client.query("READ k1");
        result = answer.result();
        if (answer.ok()) {
          longestGapMillis = Math.max(longestGapMillis, gapMillis());
          lastReadNanos = System.nanoTime();
        }
      } catch (IOException e) {
        result = String.valueOf(e.getMessage());
      }
      long gap = gapMillis();
      longestGapMillis = Math.max(longestGapMillis, gap);
      if (gap > 1_000) {
        record.line("other caller: READ k1: " + result + "; last success " + gap + " ms ago");
      }
      Database.sleep(500);
    }
  }

  private static void prepareAndExecute(Edge edge, int number, boolean trouble) {
    String padding = "x".repeat(SHAPE_BYTES);
    while (!stop.get()) {
      try (Client client = new Client(edge.callers, "desk", 10_000)) {
        while (!stop.get()) {
          int text = prepared.incrementAndGet();
          client.query("PARSE s1 READ q" + (trouble ? text : number) + padding);
          Client.Answer answer = client.query("EXECUTE s1 k" + number);
          client.query("CLOSE s1");
          if (answer.ok()) {
            answered.incrementAndGet();
          } else {
            count(answer.result().replaceAll("[0-9]+", "N"));
            Thread.sleep(50);
          }
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
}
