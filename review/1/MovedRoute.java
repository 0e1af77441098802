package review;

import java.util.ArrayList;
import java.util.List;

/**
 * A database name moves from one service to another while sessions stay open. Each session writes
 * an item and then reads it, before and after; the read must see the session's own commit.
 */
final class MovedRoute {
  private static final int SESSIONS = 6;
  private static final int ROUNDS = 10;
  private static final long STALENESS_MS = 2_500;

  private MovedRoute() {}

  public static void main(String[] arguments) {
    Deployment.run(arguments, MovedRoute::play);
  }

  private static int play(Deployment deployment) throws Exception {
    // The primary of "old" was replaced twice in the past, that of "new" never.
    Group old = deployment.service("oldsvc", 3, 1_200);
    Group moved = deployment.service("newsvc", 1, 300);
    deployment.configure(
        4,
        List.of(
            new Deployment.Route("r-a", "ledger", "read_your_writes", "oldsvc", STALENESS_MS),
            new Deployment.Route("r-b", "other", "read_your_writes", "newsvc", STALENESS_MS)));
    deployment.startHosts("edge-a-1", "edge-a-2", "edge-a-3");
    Thread.sleep(5_000);
    List<Client> sessions = new ArrayList<>();
    for (int i = 0; i < SESSIONS; i++) {
      int port = deployment.hosts.get(i % deployment.hosts.size()).callers;
      sessions.add(new Client(port, "ledger", deployment.record));
    }
    int broken = round(deployment, sessions, old, "first", 3);
    deployment.record.note("before the change: " + broken + " reads without the own commit");
    if (deployment.trouble) {
      deployment.configure(
          9,
          List.of(
              new Deployment.Route("r-c", "ledger", "read_your_writes", "newsvc", STALENESS_MS),
              new Deployment.Route("r-b", "other", "read_your_writes", "newsvc", STALENESS_MS)));
    }
    Thread.sleep(Deployment.CONFIG_APPLY_MS + 2_000);
    Group now = deployment.trouble ? moved : old;
    broken += round(deployment, sessions, now, "second", ROUNDS);
    sessions.forEach(Client::close);
    return broken;
  }

  /** Lets each session write and read; returns how many reads lacked the session's own commit. */
  private static int round(
      Deployment deployment, List<Client> sessions, Group group, String name, int rounds)
      throws Exception {
    int stale = 0;
    int checked = 0;
    for (int i = 0; i < rounds; i++) {
      for (int s = 0; s < sessions.size(); s++) {
        String item = "item-" + s;
        String write = name + "-w-" + s + "-" + i;
        String read = name + "-r-" + s + "-" + i;
        Client.Answer written =
            sessions.get(s).query(write, "WRITE " + item + " " + write);
        if (!written.ok()) {
          continue;
        }
        Client.Answer answer = sessions.get(s).query(read, "READ " + item);
        if (answer.ok()) {
          checked++;
          stale += lacksCommit(deployment, group, write, read) ? 1 : 0;
        }
        Thread.sleep(20);
      }
    }
    deployment.record.note(
        name + ": " + checked + " reads after an own commit, " + stale + " on a log without it");
    return stale;
  }

  /** Judges by the databases: the log on which the read ran last must include the commit. */
  private static boolean lacksCommit(
      Deployment deployment, Group group, String write, String read) {
    synchronized (group) {
      Group.Commit commit =
          group.commits.stream().filter(each -> each.id().equals(write)).findFirst().orElseThrow();
      Group.Run run = null;
      for (Group.Run each : group.runs) {
        if (each.id().equals(read)) {
          run = each;
        }
      }
      if (run == null || run.applied() >= commit.number()) {
        return false;
      }
      deployment.record.line(
          "STALE: " + read + " ran at " + run.database() + " on a log up to " + run.term() + "."
              + run.applied() + " and returned " + run.row() + "; the session's commit " + write
              + " is number " + commit.number());
      return true;
    }
  }
}
