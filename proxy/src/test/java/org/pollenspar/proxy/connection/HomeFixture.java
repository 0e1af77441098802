package org.pollenspar.proxy.connection;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.process.Closer;
import org.pollenspar.core.process.ErrorReporter;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.process.Invariant;
import org.pollenspar.core.process.InvariantChecker;
import org.pollenspar.core.process.Timeline;
import org.pollenspar.core.request.Access;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.Rank;
import org.pollenspar.core.request.Statement;
import org.pollenspar.core.request.WorkKind;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.core.version.GroupSpec;
import org.pollenspar.net.process.ControlThread;
import org.pollenspar.standin.process.DatabaseOptions;
import org.pollenspar.standin.process.DatabaseStandin;
import org.pollenspar.standin.process.ReplicationPeer;

/**
 * A home with three database stand-ins in one JVM. The database d0 is the primary of term 1 and has
 * the table stock with one row; the replicas d1 and d2 follow it.
 */
final class HomeFixture implements AutoCloseable {
  static final Rank URGENT = new Rank(1, "urgent", 0, 1000);
  static final Rank BULK = new Rank(3, "bulk", 10, 1000);
  private static final int AWAIT_SECONDS = 30;
  private static final int SHARE = 8;
  private static final long DEADLINE_MILLIS = 20_000;

  final MetricRegistry registry = new MetricRegistry();
  final Timeline timeline = new Timeline("p", new HybridClock(System::currentTimeMillis), 1000);
  final InvariantChecker invariants = new InvariantChecker(new ErrorReporter(List.of()), timeline);
  final ConcurrentLinkedQueue<Throwable> failures = new ConcurrentLinkedQueue<>();
  final GroupHome home;

  /** Position of the write that inserted the first row. */
  final Position filledPosition;

  private final Closer closer = new Closer();
  private final List<DatabaseStandin> databases = new ArrayList<>();
  private final List<DatabaseAddress> addresses = new ArrayList<>();
  private final ControlThread control;
  private final GroupSpec group;
  private final AtomicLong ids = new AtomicLong();

  HomeFixture(HomePolicy policy, Function<DatabaseStandin, Integer> portOf) {
    for (int i = 0; i < 3; i++) {
      DatabaseOptions options = DatabaseOptions.immediate("d" + i);
      options.maxConnections = 30;
      databases.add(closer.register(new DatabaseStandin(options)));
    }
    promote(0, 1);
    group =
        new GroupSpec(
            "ledger", databases.stream().map(database -> database.peer().id()).toList(), 30);
    control = closer.register(new ControlThread("control", failures::add));
    HomeContext context = context(policy);
    home = new GroupHome(context, group, List.of(URGENT, BULK));
    for (DatabaseStandin database : databases) {
      addresses.add(
          new DatabaseAddress(
              database.peer().id(), "127.0.0.1", portOf.apply(database), "z", false));
    }
    callOnControlThread(() -> home.update(group, List.of(URGENT, BULK), addresses, SHARE));
    var ticker = control.scheduleRepeatedly(Duration.ofMillis(5), home::tick);
    closer.register(
        () -> {
          ticker.cancel(false);
          callOnControlThread(home::close);
        });
    done(write("setup", "CREATE TABLE stock (item text PRIMARY KEY, amount int8)"));
    filledPosition =
        done(write("fill", "INSERT INTO stock (item, amount) VALUES ('book', 100)"))
            .position()
            .orElseThrow();
  }

  HomeFixture() {
    this(HomePolicy.STANDARD, DatabaseStandin::port);
  }

  private HomeContext context(HomePolicy policy) {
    AtomicLong nonces = new AtomicLong();
    PoolContext pools =
        new PoolContext(
            control,
            new DatabaseLogin("proxy", "", "ledger", Duration.ofSeconds(1)),
            task -> {
              Thread thread = new Thread(task, "database");
              thread.setDaemon(true);
              return thread;
            },
            invariants,
            ConnectionMetrics.in(registry));
    return new HomeContext(
        pools,
        policy,
        "z",
        timeline,
        new HomeMetrics(registry),
        () -> "nonce-" + nonces.incrementAndGet(),
        System::currentTimeMillis);
  }

  DatabaseStandin database(int index) {
    return databases.get(index);
  }

  void promote(int index, long term) {
    List<ReplicationPeer> peers = new ArrayList<>();
    for (DatabaseStandin database : databases) {
      if (database != databases.get(index)) {
        peers.add(database.peer());
      }
    }
    if (!databases.get(index).promote(term, peers)) {
      throw new IllegalStateException("the promotion was refused");
    }
  }

  /** Closes all connections to a database, as a crash of its server processes does. */
  void dropConnections(int index) throws IOException, InterruptedException {
    String url = "http://127.0.0.1:" + databases.get(index).controlPort() + "/faults";
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url))
            .POST(HttpRequest.BodyPublishers.ofString("{\"drop_connections\": true}"))
            .build();
    HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .build()
        .send(request, HttpResponse.BodyHandlers.discarding());
  }

  /**
   * Fences the reachable databases and promotes the most advanced one, as the platform does on
   * failover.
   *
   * @param unreachable index of a database that is unreachable; -1 for none
   * @param excluded index of a database that is promoted only if it is ahead of all others
   * @return index of the new primary
   */
  int failOver(int unreachable, int excluded, long term) {
    int best = -1;
    for (int i = 0; i < databases.size(); i++) {
      if (i != unreachable) {
        databases.get(i).fence(term);
      }
    }
    for (int i = 0; i < databases.size(); i++) {
      if (i != unreachable
          && (best < 0 || ahead(i, best) || (best == excluded && !ahead(best, i)))) {
        best = i;
      }
    }
    promote(best, term);
    return best;
  }

  private boolean ahead(int index, int other) {
    Position position = databases.get(index).state().position();
    return position.compareTo(databases.get(other).state().position()) > 0;
  }

  void markLeaving(int index) {
    DatabaseAddress old = addresses.get(index);
    addresses.set(
        index,
        new DatabaseAddress(old.databaseId(), old.address(), old.port(), old.domain(), true));
    callOnControlThread(() -> home.update(group, List.of(URGENT, BULK), addresses, SHARE));
  }

  CompletableFuture<Optional<Outcome>> write(String key, String... sql) {
    return submit(kind("write", Access.WRITE, 0), Optional.of(key), false, Position.ZERO, sql);
  }

  CompletableFuture<Optional<Outcome>> retry(String key, String... sql) {
    return submit(kind("write", Access.WRITE, 0), Optional.of(key), true, Position.ZERO, sql);
  }

  CompletableFuture<Optional<Outcome>> read(long stalenessMillis, Position position, String sql) {
    return submit(
        kind("read", Access.READ, stalenessMillis), Optional.empty(), false, position, sql);
  }

  private static WorkKind kind(String name, Access access, long stalenessMillis) {
    return new WorkKind(name, URGENT, access, stalenessMillis, false, DEADLINE_MILLIS);
  }

  CompletableFuture<Optional<Outcome>> submit(
      WorkKind kind, Optional<String> key, boolean retry, Position position, String... sql) {
    long now = control.nowNanos();
    List<Statement> statements = new ArrayList<>();
    for (String text : sql) {
      boolean update = text.startsWith("UPDATE");
      statements.add(new Statement(text, update ? 1 : Statement.ANY_ROWS));
    }
    WorkRequest request =
        new WorkRequest(
            ids.incrementAndGet(),
            group.name(),
            kind,
            key,
            retry,
            now,
            now + TimeUnit.MILLISECONDS.toNanos(kind.deadlineMillis()),
            "s",
            position,
            statements);
    return control.call(() -> home.submit(request)).thenCompose(Function.identity());
  }

  static Outcome outcome(CompletableFuture<Optional<Outcome>> answer) {
    return answer.orTimeout(AWAIT_SECONDS, TimeUnit.SECONDS).join().orElseThrow();
  }

  static Outcome.Done done(CompletableFuture<Optional<Outcome>> answer) {
    Outcome outcome = outcome(answer);
    if (outcome instanceof Outcome.Done done) {
      return done;
    }
    throw new AssertionError("not done: " + outcome);
  }

  /** Returns the amount of the item as a read that accepts no staleness sees it. */
  String amount(Position position) {
    var answer = read(0, position, "SELECT amount FROM stock WHERE item = 'book'");
    return done(answer).results().get(0).rows().get(0).get(0);
  }

  HomeReport report() {
    return callOnControlThread(home::report);
  }

  void callOnControlThread(Runnable task) {
    callOnControlThread(
        () -> {
          task.run();
          return Map.of();
        });
  }

  <T> T callOnControlThread(Supplier<T> function) {
    return control.call(function).orTimeout(AWAIT_SECONDS, TimeUnit.SECONDS).join();
  }

  /** Waits for a condition that becomes true eventually; the timeout only ends a hanging run. */
  static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("the condition did not become true");
      }
      Thread.sleep(5);
    }
  }

  long violations() {
    long sum = 0;
    for (Invariant invariant : Invariant.values()) {
      sum += invariants.violations(invariant);
    }
    return sum;
  }

  @Override
  public void close() {
    closer.close();
  }
}
