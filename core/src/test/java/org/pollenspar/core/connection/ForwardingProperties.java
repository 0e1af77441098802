package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.SessionStatement;

/**
 * Random histories of hosts that forward to homes while connections break, homes freeze, decline
 * and change. Guards against outcomes that are not true of what the databases ran, transactions
 * that change their connection or mix with other statements, and homes that exceed their share.
 */
class ForwardingProperties {
  /** Number of histories; {@code -Dpollenspar.histories} changes it. */
  private static final int HISTORIES = Integer.getInteger("pollenspar.histories", 300);

  private static final long SEED = Long.getLong("pollenspar.seed", 20_261_205L);
  private static final int STEPS = 300;
  private static final int HOME_CONNECTIONS = 2;
  private static final int HOMES = 3;

  /** One operation of a caller, a write, a read or a transaction, in a session of its own. */
  private final class Operation implements CallerConnection {
    final String name;
    final boolean transaction;
    final boolean write;
    final Map<String, Answer> answers = new HashMap<>();
    final CallerSession session;
    private final List<SessionRequest> rest = new ArrayList<>();
    private String sent = "";

    Operation(String name, String host, int statements, boolean write) {
      this.name = name;
      this.transaction = statements > 0;
      this.write = write;
      this.session = new CallerSession(fixture.hosts.get(host).context, "till", "", this);
      if (transaction) {
        add("begin", new SessionStatement.Begin(false));
        for (int i = 0; i < statements; i++) {
          add("s" + i, new SessionStatement.Write("WRITE x y"));
        }
        add("commit", new SessionStatement.Commit());
      } else {
        add("single", statement(write));
      }
    }

    private static SessionStatement statement(boolean write) {
      return write ? new SessionStatement.Write("WRITE x y") : new SessionStatement.Read("READ x");
    }

    private void add(String id, SessionStatement statement) {
      rest.add(new SessionRequest(name + "." + id, statement, fixture.time.steadyNanos()));
    }

    void sendNext() {
      if (!rest.isEmpty()) {
        SessionRequest next = rest.remove(0);
        sent = next.id();
        session.receive(next);
      }
    }

    @Override
    public void answer(Answer answer) {
      answers.put(sent, answer);
      if (!answer.ok()) {
        rest.clear();
      } else {
        fixture.time.after(random.nextInt(40), this::sendNext);
      }
    }

    @Override
    public void close() {}
  }

  private final List<Operation> operations = new ArrayList<>();
  private ScriptedDatabases databases;
  private ForwardingFixture fixture;
  private SplittableRandom random;

  private void play(long seed) {
    operations.clear();
    random = new SplittableRandom(seed);
    fixture =
        new ForwardingFixture(
            time -> {
              databases = new ScriptedDatabases(time, 5);
              return databases;
            },
            List.of(SessionFixture.entry("p", "a", true)),
            ForwardingFixture.routesOfEachKind());
    databases.positions.put("p", new Position(1, 100));
    List<ForwardingFixture.HostUnderTest> homes = new ArrayList<>();
    for (int i = 0; i < HOMES; i++) {
      homes.add(fixture.add("home" + i, i == 0 ? "a" : "b"));
    }
    for (int i = 0; i < 4; i++) {
      fixture.add("entry" + i, i % 2 == 0 ? "a" : "b");
    }
    fixture.assign(
        new HomeAssignment(homes.stream().map(home -> home.self).toList(), HOME_CONNECTIONS));
    for (int step = 0; step < STEPS; step++) {
      fixture.hosts.values().forEach(ForwardingFixture.HostUnderTest::confirm);
      if (random.nextInt(10) < 7) {
        startOperation(step);
      } else {
        disturb(homes.get(random.nextInt(HOMES)));
      }
      fixture.time.advance(random.nextInt(30));
      assertWithinShare();
    }
    for (ForwardingFixture.HostUnderTest home : homes) {
      home.thaw();
    }
    fixture.time.advance(10_000);
  }

  private void startOperation(int step) {
    Operation operation =
        new Operation(
            "o" + step,
            "entry" + random.nextInt(4),
            random.nextInt(3) == 0 ? 1 + random.nextInt(3) : 0,
            random.nextBoolean());
    operations.add(operation);
    operation.sendNext();
    if (random.nextInt(8) == 0) {
      fixture.time.after(random.nextInt(60), operation.session::callerDisconnected);
    }
  }

  private void disturb(ForwardingFixture.HostUnderTest home) {
    switch (random.nextInt(6)) {
      case 0 -> home.cutIncoming();
      case 1 -> home.frozen = true;
      case 2 -> home.thaw();
      case 3 -> home.accepting = !home.accepting;
      case 4 -> {
        List<ForwardingFixture.HostUnderTest> unreachable =
            fixture.hosts.get("entry" + random.nextInt(4)).unreachable;
        if (!unreachable.remove(home)) {
          unreachable.add(home);
        }
      }
      default -> {
        if (!databases.unreachable.remove("p")) {
          databases.unreachable.add("p");
          databases.connections.forEach(ScriptedDatabases.ScriptedConnection::close);
        }
      }
    }
  }

  private void assertWithinShare() {
    long open = databases.connections.stream().filter(each -> !each.closed).count();
    assertTrue(open <= HOMES * HOME_CONNECTIONS, () -> open + " connections are open");
  }

  private long received(String id) {
    return databases.received.stream()
        .filter(
            each ->
                each.command() instanceof DatabaseCommand.Forward forward
                    && forward.id().equals(id))
        .count();
  }

  private void assertOutcomesAreTrue(String history) {
    for (Operation operation : operations) {
      if (operation.transaction || operation.write) {
        for (Map.Entry<String, Answer> each : operation.answers.entrySet()) {
          long runs = received(each.getKey());
          String what = history + ": " + each + " ran " + runs + " times";
          assertTrue(runs <= 1, what);
          if (each.getValue().ok() && !each.getKey().endsWith("begin")) {
            assertEquals(1, runs, what);
          }
          boolean decides = each.getKey().endsWith("single") || each.getKey().endsWith("commit");
          if (decides && each.getValue().code().hadNoEffect()) {
            assertEquals(0, runs, what);
          }
        }
      }
    }
  }

  /** Checks for each connection that a transaction has it alone from its begin to its end. */
  private void assertTransactionsAreAlone(String history) {
    Map<Integer, String> ownerByConnection = new HashMap<>();
    Map<String, Integer> connectionByTransaction = new HashMap<>();
    for (ScriptedDatabases.ReceivedCommand each : databases.received) {
      int connection = each.connection();
      if (each.command() instanceof DatabaseCommand.Begin) {
        ownerByConnection.put(connection, "");
      } else if (each.command() instanceof DatabaseCommand.Rollback) {
        ownerByConnection.remove(connection);
      } else if (each.command() instanceof DatabaseCommand.Forward forward) {
        String operation = forward.id().substring(0, forward.id().indexOf('.'));
        boolean single = forward.id().endsWith("single");
        String owner = ownerByConnection.get(connection);
        assertEquals(single, owner == null, history + ": " + each);
        if (!single) {
          assertTrue(owner.isEmpty() || owner.equals(operation), history + ": " + each);
          ownerByConnection.put(connection, operation);
          Integer before = connectionByTransaction.put(operation, connection);
          assertTrue(before == null || before == connection, history + ": " + each);
          if (forward.id().endsWith("commit")) {
            ownerByConnection.remove(connection);
          }
        }
      }
    }
  }

  @Test
  void outcomesAreTrueAndTransactionsAreAlone() {
    long succeeded = 0;
    long failed = 0;
    for (int i = 0; i < HISTORIES; i++) {
      play(SEED + i);
      String history = "history of seed " + (SEED + i);
      assertOutcomesAreTrue(history);
      assertTransactionsAreAlone(history);
      for (Operation operation : operations) {
        for (Answer answer : operation.answers.values()) {
          succeeded += answer.ok() ? 1 : 0;
          failed += answer.ok() ? 0 : 1;
        }
      }
    }
    System.out.println(
        HISTORIES + " histories, " + succeeded + " successes, " + failed + " failures");
    assertTrue(succeeded > 100L * HISTORIES, "too few successes in the histories: " + succeeded);
    assertTrue(failed > 5L * HISTORIES, "too few failures in the histories: " + failed);
  }
}
