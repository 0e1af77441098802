package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.pollenspar.core.process.FailoverPolicy.Answer;
import org.pollenspar.core.process.FailoverPolicy.FencedDatabase;
import org.pollenspar.core.process.FailoverPolicy.HomeProxy;
import org.pollenspar.core.process.FailoverPolicy.ReportedDatabase;
import org.pollenspar.core.process.FailoverPolicy.Topology;

/** A group of three databases, its platform service, three homes and some agents on fake time. */
final class FailoverSimulation {
  private static final long STEP_NANOS = 10_000_000;
  private static final int TIMEOUT_STEPS = 100;
  private static final int POLL_STEPS = 20;
  private static final long NEVER = 0xffff_ffffL;

  private final Random random;
  private boolean faults;
  private final List<Database> databases = new ArrayList<>();
  private final List<Agent> agents = new ArrayList<>();
  private final Map<Long, String> promoted = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::step).thenComparingLong(Event::number));
  private long step = 1_000;
  private long eventNumber;
  private long grantedTerm = 1;
  private int grantedOwner = -1;
  private int leaseHolder = -1;
  private long leaseUntil;
  private long platformDownUntil;
  private long acknowledged;

  private record Event(long step, long number, Runnable task) {}

  private static final class Database {
    private final String id;
    private boolean primary;
    private boolean cut;
    private long fencedTerm = 1;
    private long logTerm = 1;
    private long offset;
    private final long[] lastProbe = new long[3];
    private final ReportedDatabase[] lastState = new ReportedDatabase[3];

    Database(String id) {
      this.id = id;
    }

    boolean leads() {
      return primary && fencedTerm <= logTerm;
    }
  }

  private static final class Agent {
    private final int owner;
    private final FailoverPolicy policy = new FailoverPolicy();
    private long pausedUntil;

    Agent(int owner) {
      this.owner = owner;
    }
  }

  FailoverSimulation(Random random, int agentCount, boolean faults) {
    this.random = random;
    this.faults = faults;
    for (String id : List.of("a", "b", "c")) {
      databases.add(new Database(id));
    }
    databases.get(0).primary = true;
    List<HomeProxy> homes =
        List.of(new HomeProxy("0", "d0"), new HomeProxy("1", "d1"), new HomeProxy("2", "d2"));
    for (int i = 0; i < agentCount; i++) {
      Agent agent = new Agent(i);
      agent.policy.topology(new Topology(i, homes, List.of("a", "b", "c"), Set.of()));
      agents.add(agent);
    }
  }

  void steps(int count) {
    for (int i = 0; i < count; i++) {
      step++;
      inject();
      replicate();
      probe();
      while (!events.isEmpty() && events.peek().step() <= step) {
        events.poll().task().run();
      }
      agents.stream().filter(agent -> agent.pausedUntil <= step).forEach(this::run);
    }
  }

  void cutPrimary() {
    databases.stream().filter(Database::leads).forEach(database -> database.cut = true);
  }

  /** Ends all faults. */
  void heal() {
    faults = false;
    databases.forEach(database -> database.cut = false);
    agents.forEach(agent -> agent.pausedUntil = 0);
    platformDownUntil = 0;
  }

  int promotions() {
    return promoted.size();
  }

  /** Returns whether a reachable database leads that all others may follow. */
  boolean led() {
    return databases.stream()
        .filter(d -> !d.cut && d.leads())
        .anyMatch(d -> databases.stream().allMatch(other -> other.fencedTerm <= d.logTerm));
  }

  private void inject() {
    if (!faults) {
      return;
    }
    if (random.nextInt(600) == 0) {
      cutPrimary();
    }
    if (random.nextInt(300) == 0) {
      databases.get(random.nextInt(3)).cut = false;
    }
    if (random.nextInt(300) == 0) {
      agents.get(random.nextInt(agents.size())).pausedUntil = step + random.nextInt(800);
    }
    if (random.nextInt(1000) == 0) {
      platformDownUntil = step + random.nextInt(300);
    }
  }

  /** The primary writes; replicas that it reaches follow; what a majority holds is acknowledged. */
  private void replicate() {
    for (Database primary : databases) {
      if (!primary.leads()) {
        continue;
      }
      primary.offset++;
      for (Database replica : databases) {
        boolean follows =
            replica != primary
                && !primary.cut
                && !replica.cut
                && primary.logTerm >= replica.fencedTerm;
        if (follows && replica.logTerm <= primary.logTerm && random.nextInt(3) > 0) {
          replica.primary = false;
          replica.logTerm = primary.logTerm;
          replica.fencedTerm = primary.logTerm;
          replica.offset = primary.offset;
        }
      }
      long held = majorityOffset(primary);
      if (!primary.cut) {
        acknowledged = Math.max(acknowledged, held);
      }
    }
  }

  private long majorityOffset(Database primary) {
    long[] offsets =
        databases.stream()
            .filter(d -> d.logTerm == primary.logTerm && d.fencedTerm <= primary.logTerm)
            .mapToLong(d -> d.offset)
            .sorted()
            .toArray();
    return offsets.length < 2 ? 0 : offsets[offsets.length - 2];
  }

  private void probe() {
    for (Database database : databases) {
      for (int home = 0; home < 3 && !database.cut; home++) {
        database.lastProbe[home] = step;
        database.lastState[home] =
            new ReportedDatabase(
                database.id, database.primary, database.fencedTerm, database.logTerm, 0);
      }
    }
  }

  private void run(Agent agent) {
    if ((step + agent.owner * 7L) % POLL_STEPS == 0) {
      for (int home = 0; home < 3; home++) {
        poll(agent, home);
      }
    }
    agent.policy.tick(now()).ifPresent(action -> perform(agent, action));
  }

  private void poll(Agent agent, int home) {
    if (faults && random.nextInt(10) == 0) {
      return;
    }
    List<ReportedDatabase> report = new ArrayList<>();
    for (Database database : databases) {
      ReportedDatabase state = database.lastState[home];
      if (state != null) {
        long age = database.lastProbe[home] == 0 ? NEVER : (step - database.lastProbe[home]) * 10L;
        report.add(
            new ReportedDatabase(
                state.id(), state.primary(), state.fencedTerm(), state.logTerm(), age));
      }
    }
    answer(agent, 1 + random.nextInt(5), () -> agent.policy.report("" + home, report, now()));
  }

  private long now() {
    return step * STEP_NANOS;
  }

  private void at(long when, Runnable task) {
    events.add(new Event(when, eventNumber++, task));
  }

  /** Delivers an answer; a paused agent takes it when it resumes. */
  private void answer(Agent agent, int delay, Runnable task) {
    at(
        step + delay,
        () -> {
          if (agent.pausedUntil > step) {
            answer(agent, (int) (agent.pausedUntil - step), task);
          } else {
            task.run();
          }
        });
  }

  private void perform(Agent agent, FailoverAction action) {
    int before = 1 + random.nextInt(faults ? 60 : 3);
    boolean lost = faults && random.nextInt(6) == 0;
    boolean neverArrives = faults && random.nextInt(12) == 0;
    at(
        step + before,
        () -> {
          boolean down = neverArrives || step < platformDownUntil;
          Runnable reply = down ? unanswered(agent, action) : effect(agent, action);
          boolean late = lost || down;
          answer(
              agent,
              late ? TIMEOUT_STEPS : 1 + random.nextInt(5),
              late ? unanswered(agent, action) : reply);
        });
  }

  private Runnable unanswered(Agent agent, FailoverAction action) {
    FailoverPolicy policy = agent.policy;
    if (action instanceof FailoverAction.Fence) {
      return () -> policy.fenceAnswered(action.id(), Answer.UNKNOWN, List.of(), now());
    }
    if (action instanceof FailoverAction.Promote) {
      return () -> policy.promoteAnswered(action.id(), Answer.UNKNOWN, now());
    }
    return action instanceof FailoverAction.TakeLease
        ? () -> policy.leaseAnswered(action.id(), Answer.UNKNOWN, now())
        : () -> policy.termAnswered(action.id(), OptionalLong.empty(), now());
  }

  /** Carries out a call at the platform and returns the delivery of its answer. */
  private Runnable effect(Agent agent, FailoverAction action) {
    FailoverPolicy policy = agent.policy;
    if (action instanceof FailoverAction.TakeLease) {
      boolean free = leaseUntil < step || leaseHolder == agent.owner;
      if (free) {
        leaseHolder = agent.owner;
        leaseUntil = step + 200;
      }
      Answer answer = free ? Answer.GRANTED : Answer.REFUSED;
      return () -> policy.leaseAnswered(action.id(), answer, now());
    }
    if (action instanceof FailoverAction.Fence fence) {
      if (fence.term() <= grantedTerm) {
        return () -> policy.fenceAnswered(action.id(), Answer.REFUSED, List.of(), now());
      }
      List<FencedDatabase> fenced = fence(agent, fence.term());
      return () -> policy.fenceAnswered(action.id(), Answer.GRANTED, fenced, now());
    }
    if (action instanceof FailoverAction.Promote promote) {
      Answer answer = promote(agent, promote) ? Answer.GRANTED : Answer.REFUSED;
      return () -> policy.promoteAnswered(action.id(), answer, now());
    }
    OptionalLong term = OptionalLong.of(grantedTerm);
    return () -> policy.termAnswered(action.id(), term, now());
  }

  private List<FencedDatabase> fence(Agent agent, long term) {
    grantedTerm = term;
    grantedOwner = agent.owner;
    List<FencedDatabase> fenced = new ArrayList<>();
    for (Database database : databases) {
      if (!database.cut) {
        database.fencedTerm = Math.max(database.fencedTerm, term);
        fenced.add(
            new FencedDatabase(
                database.id, database.fencedTerm, database.logTerm, database.offset));
      }
    }
    return fenced;
  }

  private boolean promote(Agent agent, FailoverAction.Promote promote) {
    if (promote.term() != grantedTerm || agent.owner != grantedOwner) {
      return false;
    }
    String choice = agent.owner + ":" + promote.databaseId();
    String before = promoted.putIfAbsent(promote.term(), choice);
    if (before != null) {
      assertEquals(before, choice, "two promotions in term " + promote.term());
      return true;
    }
    List<Database> fenced = databases.stream().filter(d -> d.fencedTerm == promote.term()).toList();
    assertTrue(fenced.size() >= 2, "promotion without a fenced majority");
    Database chosen =
        fenced.stream().filter(d -> d.id.equals(promote.databaseId())).findFirst().orElseThrow();
    assertTrue(
        chosen.offset >= acknowledged,
        "acknowledged " + acknowledged + ", promoted at " + chosen.offset);
    chosen.primary = true;
    chosen.logTerm = promote.term();
    return true;
  }
}
