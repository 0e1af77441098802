package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;

/**
 * Simulation of one group of three databases with its platform, three homes and several agents, on
 * simulated time. Answers are delayed or lost, and wait while an agent is paused.
 */
final class FailoverModel {
  static final long MILLI = 1_000_000L;
  private static final int GROUP_SIZE = 3;
  private static final int MAJORITY = 2;

  /** A simulated database. */
  static final class Database {
    final String id;
    DatabaseRole role = DatabaseRole.REPLICA;
    long fencedTerm = 1;
    long logTerm = 1;
    long offset;
    boolean cutFromGroup;
    boolean cutFromHomes;
    boolean lagging;
    long lastProbeNanos;
    DatabaseState seen;

    Database(String id) {
      this.id = id;
      this.seen = state();
    }

    DatabaseState state() {
      return new DatabaseState(id, role, fencedTerm, logTerm, offset, 1);
    }
  }

  private record Event(long nanos, long sequence, Runnable run) {}

  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::nanos).thenComparingLong(Event::sequence));
  final Map<String, Database> databases = new TreeMap<>();
  final Map<Long, String> promotions = new TreeMap<>();
  final List<String> violations = new ArrayList<>();
  final Set<String> leaving = new HashSet<>();
  private final List<FailoverPolicy> agents = new ArrayList<>();
  private final long[] pausedUntil;
  private long now;
  private long sequence;
  private long grantedTerm = 1;
  private int grantedOwner = -1;
  private String primary = "a";
  private long acknowledged;
  double lossRate;

  FailoverModel(long seed, int agentCount) {
    random = new Random(seed);
    pausedUntil = new long[agentCount];
    for (String id : List.of("a", "b", "c")) {
      databases.put(id, new Database(id));
    }
    database("a").role = DatabaseRole.PRIMARY;
    for (int i = 0; i < agentCount; i++) {
      FailoverPolicy policy = new FailoverPolicy(GROUP_SIZE, FailoverTiming.STANDARD, 0);
      policy.place(i);
      policy.homes(homes());
      agents.add(policy);
      poll(i);
    }
    every(20 * MILLI, this::replicateAndProbe);
  }

  Database database(String id) {
    return java.util.Objects.requireNonNull(databases.get(id));
  }

  long now() {
    return now;
  }

  Optional<String> leader() {
    return databases.values().stream()
        .filter(d -> d.state().leads() && d.logTerm == grantedTerm && !d.cutFromGroup)
        .map(d -> d.id)
        .findFirst();
  }

  void pause(int agent, long nanos) {
    pausedUntil[agent] = now + nanos;
  }

  void run(long untilNanos) {
    while (!events.isEmpty() && events.peek().nanos <= untilNanos) {
      Event event = events.poll();
      now = Math.max(now, event.nanos);
      event.run.run();
    }
    now = untilNanos;
  }

  private static List<Host> homes() {
    List<Host> homes = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      homes.add(
          new Host(
              "home-" + i,
              "127.0.0.1",
              1,
              1,
              1,
              "domain-" + i,
              "region",
              HostRole.PROXY,
              HostState.LIVE,
              List.of()));
    }
    return homes;
  }

  private void after(long delay, Runnable run) {
    events.add(new Event(now + delay, sequence++, run));
  }

  private void every(long period, Runnable run) {
    after(
        period,
        () -> {
          run.run();
          every(period, run);
        });
  }

  /** Runs a task of an agent after a delay, or after the agent's pause if that ends later. */
  private void deliver(int agent, long delay, Runnable run) {
    after(
        delay,
        () -> {
          if (pausedUntil[agent] > now) {
            deliver(agent, pausedUntil[agent] - now, run);
          } else {
            run.run();
          }
        });
  }

  private long delay() {
    return (1 + random.nextInt(30)) * MILLI;
  }

  private void replicateAndProbe() {
    for (Database leader : databases.values()) {
      if (leader.state().leads()) {
        leader.offset++;
        databases.values().stream()
            .filter(d -> d != leader && !d.cutFromGroup && !leader.cutFromGroup && !d.lagging)
            .filter(d -> d.fencedTerm <= leader.logTerm && random.nextInt(3) > 0)
            .forEach(d -> follow(d, leader));
        acknowledge(leader);
      }
    }
    for (Database database : databases.values()) {
      if (!database.cutFromHomes) {
        database.lastProbeNanos = now;
        database.seen = database.state();
      }
    }
  }

  private static void follow(Database replica, Database leader) {
    replica.role = DatabaseRole.REPLICA;
    replica.logTerm = leader.logTerm;
    replica.fencedTerm = leader.logTerm;
    replica.offset = leader.offset;
  }

  private void acknowledge(Database leader) {
    long held =
        databases.values().stream()
            .filter(d -> d.logTerm == leader.logTerm && d.fencedTerm <= leader.logTerm)
            .map(d -> d.offset)
            .sorted(java.util.Comparator.reverseOrder())
            .skip(MAJORITY - 1)
            .findFirst()
            .orElse(0L);
    acknowledged = Math.max(acknowledged, held);
  }

  private void poll(int agent) {
    deliver(
        agent,
        200 * MILLI,
        () -> {
          poll(agent);
          agents.get(agent).leaving(leaving);
          for (Host home : homes()) {
            if (random.nextDouble() >= lossRate) {
              report(agent, home);
            }
          }
          perform(agent, agents.get(agent).tick(now));
        });
  }

  private void report(int agent, Host home) {
    List<ObservedDatabase> observed =
        databases.values().stream()
            .map(d -> new ObservedDatabase(d.seen, now - d.lastProbeNanos))
            .toList();
    VantageReport report = new VantageReport(home.id(), home.domain(), observed);
    deliver(agent, delay(), () -> agents.get(agent).reported(report, now));
  }

  private void perform(int agent, FailoverAction action) {
    FailoverPolicy policy = agents.get(agent);
    if (action instanceof FailoverAction.ReadSummary) {
      call(agent, this::summary, s -> policy.summaryRead(s, now));
    } else if (action instanceof FailoverAction.TakeLease) {
      LeaseAnswer answer = random.nextBoolean() ? LeaseAnswer.GRANTED : LeaseAnswer.UNAVAILABLE;
      call(agent, () -> answer, a -> policy.leaseAnswered(a.orElse(LeaseAnswer.UNAVAILABLE), now));
    } else if (action instanceof FailoverAction.Fence fence) {
      call(
          agent,
          () -> fence(agent, fence.term()),
          fenced -> policy.fenced(fenced.orElse(List.of()), now));
    } else if (action instanceof FailoverAction.Promote promote) {
      call(
          agent,
          () -> promote(agent, promote.term(), promote.databaseId()),
          granted -> policy.promoted(granted.orElse(false), now));
    }
  }

  /** Calls the platform; the request or the answer may be lost. */
  private <T> void call(
      int agent,
      java.util.function.Supplier<T> effect,
      java.util.function.Function<Optional<T>, FailoverAction> answer) {
    boolean requestLost = random.nextDouble() < lossRate / 2;
    boolean answerLost = random.nextDouble() < lossRate / 2;
    after(
        delay(),
        () -> {
          Optional<T> result = requestLost ? Optional.empty() : Optional.of(effect.get());
          Optional<T> received = answerLost ? Optional.empty() : result;
          deliver(agent, delay(), () -> perform(agent, answer.apply(received)));
        });
  }

  private GroupSummary summary() {
    Set<String> unreachable = new HashSet<>();
    databases.values().stream().filter(d -> d.cutFromGroup).forEach(d -> unreachable.add(d.id));
    return new GroupSummary(grantedTerm, Optional.of(primary), unreachable);
  }

  private List<DatabaseState> fence(int agent, long term) {
    if (term <= grantedTerm && !(term == grantedTerm && grantedOwner == agent)) {
      return List.of();
    }
    grantedTerm = term;
    grantedOwner = agent;
    List<DatabaseState> fenced = new ArrayList<>();
    for (Database database : databases.values()) {
      if (!database.cutFromGroup) {
        database.fencedTerm = term;
        fenced.add(database.state());
      }
    }
    return fenced;
  }

  private boolean promote(int agent, long term, String id) {
    if (term != grantedTerm || grantedOwner != agent || database(id).cutFromGroup) {
      return false;
    }
    String earlier = promotions.putIfAbsent(term, id);
    if (earlier != null) {
      if (!earlier.equals(id)) {
        violations.add("term " + term + " promoted " + earlier + " and " + id);
      }
      return earlier.equals(id);
    }
    Database chosen = database(id);
    if (chosen.offset < acknowledged) {
      violations.add("promoted " + id + " at " + chosen.offset + ", acknowledged " + acknowledged);
    }
    databases.values().forEach(d -> d.role = d.cutFromGroup ? d.role : DatabaseRole.REPLICA);
    chosen.role = DatabaseRole.PRIMARY;
    chosen.logTerm = term;
    primary = id;
    return true;
  }
}
