package org.pollenspar.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.GroupTracker;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.version.GroupSpec;

/**
 * Simulates one random history of one group: three databases with asynchronous replication, a
 * platform that fences and promotes, two home proxies whose trackers receive delayed probe answers,
 * and sessions that write, retry and read at either home. Any message may be lost or overtaken.
 *
 * <p>Checks the consistency guarantees at each answer and, after all messages have arrived, on the
 * log that remains. The seed determines the whole history.
 */
final class GroupModel {
  private static final long MILLI = 1_000_000L;
  private static final Rank RANK = new Rank(1, "r", 0, 100);
  private static final int STEPS = 800;
  private static final GroupSpec SPEC = new GroupSpec("g", List.of("a", "b", "c"), 50);

  /** A message in transit; either {@code arrive} or {@code lose} runs. */
  private record Message(Runnable arrive, Runnable lose) {}

  /** A home proxy whose clock differs from those of others. */
  final class Home {
    private final GroupTracker tracker = new GroupTracker(SPEC);
    private final RetryBudget budget = new RetryBudget();
    private final Set<String> unreachable = new HashSet<>();
    private final long clockOffset = random.nextLong(-1000, 1000) * MILLI;

    GroupTracker tracker() {
      return tracker;
    }

    RetryBudget budget() {
      return budget;
    }

    long now() {
      return nowNanos + clockOffset;
    }
  }

  /** A caller's session. */
  private static final class Session {
    Position position = Position.ZERO;
    final Set<String> acknowledged = new HashSet<>();
  }

  /** A write that a caller wants to run once, over all of its requests with one key. */
  static final class Operation {
    final String key;
    final String sql;
    final Session session;
    GroupModelWrite current;
    boolean settled;
    boolean reportedNotRun;

    Operation(String key, String sql, Session session) {
      this.key = key;
      this.sql = sql;
      this.session = session;
    }

    String fingerprint() {
      return Fingerprint.of("k", statements());
    }

    List<Statement> statements() {
      return List.of(new Statement(sql, 1));
    }
  }

  /** Numbers of events over all histories, to show that every kind of event occurred. */
  static final Map<String, Long> COUNTS = new TreeMap<>();

  private final SplittableRandom random;
  private final Map<String, GroupModelDatabase> databases = new TreeMap<>();
  private final Map<Long, Integer> termStarts = new HashMap<>(Map.of(1L, 0));
  private final List<Home> homes = new ArrayList<>();
  private final List<Session> sessions = List.of(new Session(), new Session(), new Session());
  private final List<Message> messages = new ArrayList<>();
  private final List<Operation> operations = new ArrayList<>();
  private final List<GroupModelWrite> writes = new ArrayList<>();

  /** Acknowledged operations with the time of the first acknowledgement. */
  private final Map<Operation, Long> acknowledged = new HashMap<>();

  private Map<String, DatabaseState> fenceAnswers = Map.of();
  private long nowNanos;
  private long fencedTerm = 1;
  private long lastId;
  private GroupModelDatabase leader;

  GroupModel(long seed) {
    random = new SplittableRandom(seed);
    SPEC.databases().forEach(id -> databases.put(id, new GroupModelDatabase(id)));
    leader = database("a");
    leader.promote(1);
    homes.add(new Home());
    homes.add(new Home());
  }

  void run() {
    for (int i = 0; i < STEPS; i++) {
      nowNanos += random.nextLong(MILLI / 2);
      step(random.nextInt(100));
    }
    settle();
  }

  private void step(int roll) {
    if (roll < 40) {
      for (int i = random.nextInt(8); i > 0 && !messages.isEmpty(); i--) {
        // Mostly the oldest first: in random order nearly every write would time out.
        Message message = messages.remove(chance(70) ? 0 : random.nextInt(messages.size()));
        (chance(2) ? message.lose : message.arrive).run();
      }
    } else if (roll < 60) {
      probe(pick(homes), pick(List.copyOf(databases.values())));
    } else if (roll < 72) {
      replicate(pick(List.copyOf(databases.values())), 1 + random.nextInt(4));
    } else if (roll < 88) {
      List.copyOf(writes).forEach(GroupModelWrite::advance);
    } else if (roll < 91) {
      write();
    } else if (roll < 94) {
      new Read(pick(homes), pick(sessions)).choose();
    } else {
      fault(roll);
    }
  }

  private void fault(int roll) {
    GroupModelDatabase database = pick(List.copyOf(databases.values()));
    if (roll == 94) {
      database.isolated = chance(50);
    } else if (roll == 95 && chance(40)) {
      isolateWithLeader(pick(homes));
    } else if (roll == 95) {
      Set<String> unreachable = pick(homes).unreachable;
      if (!unreachable.remove(database.id)) {
        unreachable.add(database.id);
      }
    } else if (roll == 96) {
      databases.values().forEach(d -> d.isolated = false);
      homes.forEach(home -> home.unreachable.clear());
    } else if (roll == 97 && chance(40)) {
      fence();
    } else if (roll == 98) {
      changeLocally(database);
    } else if (!fenceAnswers.isEmpty()) {
      promote();
    }
  }

  /**
   * A primary commits changes of other callers, so that the log of an isolated primary can become
   * the longest; or a former primary restarts as a replica before it joins the new term.
   */
  private void changeLocally(GroupModelDatabase database) {
    if (database != leader && chance(50)) {
      database.restartAsReplica();
      return;
    }
    for (int i = random.nextInt(6); i > 0 && database.state().leads(); i--) {
      KeyRecord.Result ran = new KeyRecord.Result.Ran(List.of());
      boolean replaced = replaced(database.logTerm);
      String key = "local" + nextId();
      database.log.add(new GroupModelDatabase.Entry(database.logTerm, key, "", ran, replaced));
    }
  }

  /** Isolates a home together with the primary, while a new primary is about to be promoted. */
  private void isolateWithLeader(Home home) {
    leader.isolated = true;
    home.unreachable.addAll(databases.keySet());
    home.unreachable.remove(leader.id);
    fence();
  }

  private void fence() {
    fencedTerm++;
    Map<String, DatabaseState> answers = new HashMap<>();
    for (GroupModelDatabase database : databases.values()) {
      if (!database.isolated) {
        database.fencedTerm = fencedTerm;
        answers.put(database.id, database.state());
      }
    }
    fenceAnswers = answers;
  }

  private void promote() {
    Optional<DatabaseState> best =
        fenceAnswers.values().stream().max((x, y) -> x.position().compareTo(y.position()));
    if (fenceAnswers.size() < SPEC.majority() || database(best.get().databaseId()).isolated) {
      return;
    }
    fenceAnswers = Map.of();
    leader = database(best.get().databaseId());
    leader.promote(fencedTerm);
    termStarts.put(fencedTerm, leader.log.size());
    count("promotions");
    acknowledged.keySet().forEach(operation -> requireInLog(operation, "lost by promotion"));
  }

  private void replicate(GroupModelDatabase database, int entries) {
    if (!database.isolated && !leader.isolated) {
      database.follow(leader, termStarts.get(leader.logTerm), entries);
    }
  }

  private void probe(Home home, GroupModelDatabase database) {
    long sent = home.now();
    Runnable lost = () -> home.tracker.failed(database.id, home.now());
    Runnable arrive =
        () -> {
          if (!connected(home, database)) {
            lost.run();
            return;
          }
          DatabaseState state = database.state();
          send(() -> home.tracker.observed(state, sent, home.now()), lost);
        };
    send(arrive, lost);
  }

  private void write() {
    List<Operation> unsettled =
        operations.stream().filter(operation -> !operation.settled).toList();
    boolean retryExisting = !unsettled.isEmpty() && chance(50);
    Operation operation = retryExisting ? pick(unsettled) : newOperation();
    boolean retry = operation.current != null;
    Home home = pick(homes);
    WorkKind kind = new WorkKind("k", RANK, Access.WRITE, 0, false, 1000);
    WorkRequest request =
        new WorkRequest(
            nextId(),
            "g",
            kind,
            Optional.of(operation.key),
            retry,
            home.now(),
            home.now() + random.nextLong(20, 250) * MILLI,
            "s",
            operation.session.position,
            operation.statements());
    operation.current = new GroupModelWrite(this, home, operation, request);
    writes.add(operation.current);
  }

  private Operation newOperation() {
    boolean reuse = !operations.isEmpty() && chance(10);
    String key = reuse ? pick(operations).key : "key" + nextId();
    Operation operation = new Operation(key, "s" + nextId(), pick(sessions));
    operations.add(operation);
    return operation;
  }

  /** Handles the answer of a write; the caller only regards that of its latest request. */
  void answered(Operation operation, GroupModelWrite write, Outcome outcome) {
    writes.remove(write);
    count("writes " + outcome.getClass().getSimpleName());
    if (outcome instanceof Outcome.Done done) {
      acknowledged(operation, done);
    }
    if (operation.current != write) {
      return;
    }
    operation.settled = !(outcome instanceof Outcome.Unknown);
    operation.reportedNotRun = outcome instanceof Outcome.NotRun;
    if (outcome instanceof Outcome.NotRun notRun) {
      count("writes NotRun " + notRun.error().kind());
    }
    if (outcome instanceof Outcome.Done done) {
      operation.session.position = operation.session.position.max(done.position().orElseThrow());
      operation.session.acknowledged.add(operation.key);
    }
  }

  /**
   * Checks an acknowledgement. A commit of a replaced primary must not be acknowledged in the term
   * of that primary. It may be acknowledged in a later term whose primary has it in its log, which
   * happens if the isolated database is promoted again.
   */
  private void acknowledged(Operation operation, Outcome.Done done) {
    long term = done.position().orElseThrow().term();
    boolean byReplaced =
        database(done.servedBy())
            .find(operation.key)
            .filter(entry -> entry.replaced() && entry.term() == term)
            .isPresent();
    require(!byReplaced, "P2: acknowledged in replaced term " + term + ": " + operation.key);
    acknowledged.putIfAbsent(operation, nowNanos);
    requireInLog(operation, "acknowledged without a majority");
  }

  private void requireInLog(Operation operation, String problem) {
    boolean present =
        leader
            .find(operation.key)
            .filter(entry -> entry.ran() && entry.fingerprint().equals(operation.fingerprint()))
            .isPresent();
    require(present, "P2: write " + problem + ": " + operation.key + ", term " + leader.logTerm);
  }

  /** One read of a session, over all attempts at databases. */
  private final class Read {
    private final Home home;
    private final long arrived = nowNanos;
    private final long staleness;
    private final ReadRequirement requirement;
    private final Set<String> ownWrites;
    private final Set<String> earlierWrites = new HashSet<>();

    Read(Home home, Session session) {
      this.home = home;
      this.staleness = pick(List.of(0L, 5L, 20L, 100L)) * MILLI;
      long deadline = home.now() + random.nextLong(10, 100) * MILLI;
      this.requirement =
          new ReadRequirement("g", session.position, staleness, home.now(), deadline);
      this.ownWrites = Set.copyOf(session.acknowledged);
      acknowledged.forEach(
          (operation, time) -> {
            if (time < arrived - staleness) {
              earlierWrites.add(operation.key);
            }
          });
    }

    void choose() {
      RoutingContext context =
          new RoutingContext(id -> !home.unreachable.contains(id), Map.of(), Map.of(), "");
      RouteDecision decision =
          ReadRouter.replicasFirst().choose(requirement, home.tracker, context, home.now());
      if (decision instanceof RouteDecision.Use use) {
        // Sometimes another database, since correctness must depend on the check of the answer
        // only.
        String target = chance(10) ? pick(SPEC.databases()) : use.databaseId();
        send(() -> execute(database(target)), this::choose);
      } else if (decision instanceof RouteDecision.Wait) {
        send(this::choose, this::choose);
      } else {
        count("reads refused");
      }
    }

    private void execute(GroupModelDatabase database) {
      DatabaseState state = database.state();
      Set<String> keys = Set.copyOf(database.keysThatRan());
      send(() -> answered(state, keys), this::choose);
    }

    private void answered(DatabaseState state, Set<String> keys) {
      if (!ReadRouter.replicasFirst().acceptable(requirement, state, home.tracker)) {
        count("reads repeated");
        choose();
        return;
      }
      count("reads by " + state.role().wireName());
      String where = " at " + state + " for " + requirement.position();
      require(keys.containsAll(ownWrites), "P1: own write missing" + where);
      require(keys.containsAll(earlierWrites), "staleness " + staleness / MILLI + " ms" + where);
    }
  }

  /** Ends all faults, delivers all messages, promotes once more and checks the log. */
  private void settle() {
    databases.values().forEach(database -> database.isolated = false);
    homes.forEach(home -> home.unreachable.clear());
    nowNanos += 10_000 * MILLI;
    for (int i = 0; i < 10_000 && !(messages.isEmpty() && writes.isEmpty()); i++) {
      List.copyOf(writes).forEach(GroupModelWrite::advance);
      if (!messages.isEmpty()) {
        messages.remove(random.nextInt(messages.size())).arrive.run();
      }
    }
    require(
        messages.isEmpty() && writes.isEmpty(),
        "writes or messages are left after 10000 deliveries");
    fence();
    promote();
    Map<String, Integer> runs = new HashMap<>();
    leader.keysThatRan().forEach(key -> runs.merge(key, 1, Integer::sum));
    require(runs.values().stream().allMatch(n -> n == 1), "P6: a key ran more than once: " + runs);
    for (Operation operation : operations) {
      boolean ran =
          leader
              .find(operation.key)
              .filter(entry -> entry.ran() && entry.fingerprint().equals(operation.fingerprint()))
              .isPresent();
      require(
          !(ran && operation.reportedNotRun), "P5: answered \"not run\" but ran: " + operation.key);
    }
  }

  void send(Runnable arrive, Runnable lose) {
    messages.add(new Message(arrive, lose));
  }

  boolean connected(Home home, GroupModelDatabase database) {
    return !home.unreachable.contains(database.id);
  }

  boolean chance(int percent) {
    return random.nextInt(100) < percent;
  }

  long nextId() {
    return ++lastId;
  }

  GroupModelDatabase database(String id) {
    return databases.get(id);
  }

  /** Returns whether a later term has a primary. */
  boolean replaced(long term) {
    return leader.logTerm > term;
  }

  private <T> T pick(List<T> list) {
    return list.get(random.nextInt(list.size()));
  }

  private static void count(String what) {
    COUNTS.merge(what, 1L, Long::sum);
  }

  private static void require(boolean holds, String message) {
    if (!holds) {
      throw new AssertionError(message);
    }
  }
}
