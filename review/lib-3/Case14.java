import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;

/**
 * A caller reads a report of many rows. Its statement must be answered, or its connection closed,
 * after the time limit of its route. A second caller sends three reads, of which the first is the
 * report, without waiting for the answers; the first answer must be that to the first read. Without
 * TROUBLE, the report has half as many rows.
 */
public final class Case14 {
  private static final int ROUTE_TIMEOUT_MS = 6_000;
  private static final int LIMIT_MS = 20_000;

  private Case14() {}

  public static void main(String[] arguments) {
    try {
      run(new Record(Path.of(arguments[0])));
    } catch (Exception e) {
      e.printStackTrace();
      System.exit(2);
    }
  }

  private static void run(Record record) throws Exception {
    int rows = "0".equals(System.getenv("TROUBLE")) ? 20_000 : 40_000;
    boolean broken = false;
    try (Site site = new Site(record)) {
      site.databases();
      site.configure(1, new Site.Route("desk", "primary", 0, ROUTE_TIMEOUT_MS, 1_000, 0));
      Edge edge = site.edge("edge-a-1", 6);
      edge.awaitReady(20);
      record.line("edge-a-1 is ready");
      Thread.sleep(4_000);
      broken |= wrongRows(record, edge, rows);
      for (int i = 0; i < 1; i++) {
        long begun = System.nanoTime();
        String result;
        try (Client client = new Client(edge.callers, "desk", LIMIT_MS)) {
          Client.Answer answer = client.query("READ report" + rows);
          result = answer.rows().size() + " rows, " + answer.result();
        } catch (SocketTimeoutException e) {
          result = "no answer, and the connection is open";
          broken = true;
        } catch (IOException e) {
          result = "the connection ended: " + e.getMessage();
        }
        record.line(
            "READ report of " + rows + " rows of 1,000 bytes: " + result + ", after "
                + (System.nanoTime() - begun) / 1_000_000 + " ms; run by the databases: "
                + site.group.all.stream().map(each -> each.id + " " + each.ran.get()).toList());
        try (Client client = new Client(edge.callers, "desk", 3_000)) {
          record.line("another caller: READ k1: " + client.query("READ k1").result());
        }
      }
      record.line("process alive " + edge.process.isAlive() + ", ready " + edge.ready());
    }
    record.line(broken ? "BROKEN" : "HELD");
    System.exit(broken ? 1 : 0);
  }

  /** Returns whether the first answer is a success that belongs to another read than the first. */
  private static boolean wrongRows(Record record, Edge edge, int rows) throws Exception {
    try (Client client = new Client(edge.callers, "desk", LIMIT_MS)) {
      String first = Client.nextId();
      client.begin(first, "READ report" + rows);
      client.begin(Client.nextId(), "READ k1");
      Thread.sleep(4_000);
      client.begin(Client.nextId(), "READ k2");
      Client.Answer answer = client.await();
      record.line(
          "READ report is " + first + ", READ k1 and READ k2 follow; the first answer has "
              + answer.rows().size() + " rows and " + answer.result());
      return answer.ok() && !answer.result().endsWith("." + first);
    } catch (IOException e) {
      record.line("READ report, READ k1 and READ k2: " + e);
      return e instanceof SocketTimeoutException;
    }
  }
}
