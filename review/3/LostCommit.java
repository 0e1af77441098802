package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A service with synchronous replication. One replica receives nothing for some seconds; meanwhile
 * the primary and the other replica crash, and come back with their logs after 7 s and 4.1 s. No
 * commit that was acknowledged may be missing in the log of the database that is promoted.
 */
final class LostCommit {
  private static final long PRIMARY_DOWN_MS = 7_000;
  private static final long REPLICA_DOWN_MS = 4_100;
  private static final long DEAF_MS = 6_000;
  private static final long DEAF_BEFORE_CRASH_MS = 1_500;

  private LostCommit() {}

  public static void main(String[] arguments) {
    Deployment.run(arguments, LostCommit::play);
  }

  private static int play(Deployment deployment) throws Exception {
    deployment.syncReplicas = 1;
    Group group = deployment.service("tokens", 3, 1_200);
    deployment.configure(
        4, List.of(new Deployment.Route("r-a", "ledger", "primary", "tokens", 0)));
    deployment.startHosts("edge-a-1", "edge-a-2", "edge-a-3");
    Thread.sleep(6_000);
    ConcurrentLinkedQueue<String> acknowledged = new ConcurrentLinkedQueue<>();
    boolean[] ended = {false};
    List<Thread> writers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      int number = i;
      Thread writer = new Thread(() -> write(deployment, number, acknowledged, ended));
      writer.start();
      writers.add(writer);
    }
    Thread.sleep(2_000);
    Group.Database primary = group.databases.get(0);
    Group.Database ahead = group.databases.get(1);
    Group.Database behind = group.databases.get(2);
    if (deployment.trouble) {
      deployment.record.note(behind.id + " receives nothing");
      behind.deaf = true;
      Thread.sleep(DEAF_BEFORE_CRASH_MS);
      deployment.record.note("the primary and " + ahead.id + " crash");
      primary.crash();
      ahead.crash();
      Thread.sleep(REPLICA_DOWN_MS);
      ahead.restart();
      Thread.sleep(DEAF_MS - DEAF_BEFORE_CRASH_MS - REPLICA_DOWN_MS);
      behind.deaf = false;
      deployment.record.note(behind.id + " receives again");
      Thread.sleep(PRIMARY_DOWN_MS - (DEAF_MS - DEAF_BEFORE_CRASH_MS));
      primary.restart();
    }
    Thread.sleep(20_000);
    ended[0] = true;
    for (Thread writer : writers) {
      writer.join();
    }
    return missing(deployment, group, acknowledged);
  }

  private static void write(
      Deployment deployment,
      int number,
      ConcurrentLinkedQueue<String> acknowledged,
      boolean[] ended) {
    int port = deployment.hosts.get(number % deployment.hosts.size()).callers;
    for (int i = 0; !ended[0]; i++) {
      String id = "w-" + number + "-" + i;
      try (Client client = new Client(port, "ledger", deployment.record)) {
        if (client.query(id, "WRITE item-" + number + " " + id).ok()) {
          acknowledged.add(id);
        }
        Thread.sleep(50);
      } catch (IOException e) {
        deployment.record.line("request " + id + " got no answer: " + e.getMessage());
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Returns how many acknowledged commits the log of the last promoted database lacks. */
  private static int missing(
      Deployment deployment, Group group, ConcurrentLinkedQueue<String> acknowledged) {
    synchronized (group) {
      Group.Database leader = group.databases.get(0);
      for (Group.Database each : group.databases) {
        if (each.primary) {
          leader = each;
        }
      }
      Set<String> present = new HashSet<>();
      leader.log.forEach(commit -> present.add(commit.id()));
      int missing = 0;
      for (String id : acknowledged) {
        if (!present.contains(id)) {
          missing++;
          deployment.record.line("LOST: " + id + " was acknowledged and is not in the log of "
              + leader.id + ", which leads term " + leader.term);
        }
      }
      deployment.record.note(
          acknowledged.size() + " writes acknowledged; " + leader.id + " leads term " + leader.term
              + " and lacks " + missing);
      return missing;
    }
  }
}
