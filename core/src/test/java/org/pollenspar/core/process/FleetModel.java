package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * One random history of a fleet: hosts with the real control classes, a store, three databases of
 * one group, and faults of all of them.
 *
 * <p>Checked: no commit runs at a database after another was promoted and is reported as a success,
 * and no read that is reported runs at a database that lacks a commit reported before it was sent.
 */
final class FleetModel {
  /** Faults that are planted to see the checks fail. */
  enum Planted {
    NONE,
    PROOFS_NEVER_EXPIRE,
    MEMBERS_ARE_NOT_ASKED
  }

  static final String GROUP = "ledger";
  private static final int HOSTS = 4;
  static final int HISTORY_MS = 60_000;

  private final RandomGenerator random;
  private final Planted planted;
  private final FleetFaults.LateMembers lateMembers;
  final FakeTime time = new FakeTime();
  final ModelStore store;
  final List<ModelHost> hosts = new ArrayList<>();
  final Map<String, FleetModelDatabase> databases = new TreeMap<>();
  private long reportedCommits;
  private int started;
  String newestPrimary = "db0";
  int promotions;
  int commits;
  int reads;
  final List<String> violations = new ArrayList<>();

  /** What the hosts decided, for the analysis of a violation. */
  final List<String> trace = new ArrayList<>();

  FleetModel(RandomGenerator random, Planted planted, FleetFaults.LateMembers lateMembers) {
    this.random = random;
    this.planted = planted;
    this.lateMembers = lateMembers;
    this.store = new ModelStore(time, random);
    for (int i = 0; i < 3; i++) {
      databases.put("db" + i, new FleetModelDatabase(this, "db" + i, i == 0));
    }
  }

  /** Plays the history. */
  void play() {
    for (int i = 0; i < HOSTS; i++) {
      startHost();
    }
    new FleetFaults(this, random, lateMembers).schedule();
    time.advance(HISTORY_MS);
  }

  /** Starts a host under a name of its own. */
  void startHost() {
    ModelHost host = new ModelHost("host" + started++);
    hosts.add(host);
    host.start();
  }

  long now() {
    return time.steadyNanos() / 1_000_000;
  }

  /** Clocks that show no time passing. */
  private static final class StoppedClocks implements Clocks {
    @Override
    public long steadyNanos() {
      return 0;
    }

    @Override
    public long wallMillis() {
      return 0;
    }
  }

  /** A host with the real control classes and a caller that writes and reads. */
  final class ModelHost implements Clocks, Timers, FleetMessages, DatabaseControl {
    final String name;
    final Map<String, Long> unreachable = new HashMap<>();
    private final Confirmation confirmation;
    private final PrimaryAuthority authority;
    private final FleetTable table;
    private final ConfirmationRenewer epoch;
    private final FailoverCoordinator duty;
    private final CoordinationStore connection;
    private final List<Runnable> frozen = new ArrayList<>();
    private long frozenUntil;
    private long suspended;
    private long cutUntil;

    ModelHost(String name) {
      this.name = name;
      this.connection = store.connection(name, this::deliver);
      this.confirmation =
          new Confirmation(planted == Planted.PROOFS_NEVER_EXPIRE ? new StoppedClocks() : this);
      this.authority = new PrimaryAuthority(confirmation);
      this.table = new FleetTable(authority, this);
      Member self = new Member(name, name, name + "-1", false);
      this.epoch =
          new ConfirmationRenewer(
              connection, table, confirmation, this, this, self, this::note, () -> false);
      this.duty =
          new FailoverCoordinator(
              connection,
              table,
              this,
              this,
              this::promote,
              this,
              this,
              this::note,
              name,
              authority,
              epoch,
              random.nextInt(300));
      table.listeners(() -> {}, duty::acquireLeaseIfFree);
    }

    private void note(String event, String subject, String detail) {
      trace.add(FleetModel.this.now() + " " + name + " " + event + " " + subject + ": " + detail);
    }

    void start() {
      epoch.load();
      watch(0);
      after(random.nextInt(100), this::work);
      after(1_000, this::house);
    }

    private void house() {
      duty.acquireLeaseIfFree();
      after(2_000, this::house);
    }

    private void watch(long revision) {
      connection.watch(
          ControlKeys.PREFIX,
          revision,
          reply -> {
            if (reply.done() && epoch.loaded()) {
              reply.items().forEach(table::apply);
              epoch.registerOrRenew();
            }
            long next = reply.done() && epoch.loaded() ? reply.revision() : revision;
            after(50, () -> watch(next));
          });
    }

    /** Runs now, or when the host thaws. */
    private void deliver(Runnable task) {
      if (now() < frozenUntil) {
        frozen.add(task);
      } else {
        task.run();
      }
    }

    /** Stops the host; while suspended, its steady clock stops as well. */
    void freeze(int length, boolean suspend) {
      if (now() < frozenUntil) {
        return;
      }
      frozenUntil = now() + length;
      time.after(
          length,
          () -> {
            suspended += suspend ? length : 0;
            List<Runnable> all = new ArrayList<>(frozen);
            frozen.clear();
            all.forEach(Runnable::run);
          });
    }

    void cutFromPeers(int length) {
      cutUntil = now() + length;
    }

    private boolean cut() {
      return now() < cutUntil;
    }

    @Override
    public long steadyNanos() {
      long stopped = now() < frozenUntil ? 0 : suspended;
      return time.steadyNanos() - stopped * 1_000_000;
    }

    @Override
    public long wallMillis() {
      return time.wallMillis();
    }

    @Override
    public Timer after(long delayMillis, Runnable task) {
      boolean[] cancelled = {false};
      Runnable unlessCancelled =
          () -> {
            if (!cancelled[0]) {
              task.run();
            }
          };
      time.after(delayMillis, () -> deliver(unlessCancelled));
      return () -> cancelled[0] = true;
    }

    private int delay() {
      return 1 + random.nextInt(5);
    }

    private void work() {
      after(20 + random.nextInt(200), this::work);
      String primary = authority.primary(GROUP);
      PrimaryRecord record = authority.record(GROUP);
      if (primary == null || record == null || !reachable(primary)) {
        return;
      }
      FleetModelDatabase database = databases.get(primary);
      if (random.nextBoolean()) {
        commit(database, record.term());
      } else {
        read(database, record.term());
      }
    }

    private boolean reachable(String database) {
      return databases.get(database).up() && unreachable.getOrDefault(database, 0L) <= now();
    }

    private void commit(FleetModelDatabase database, long term) {
      authority.writeStarted(GROUP);
      time.after(
          delay(),
          () -> {
            boolean ran = database.up() && database.primary;
            boolean late = ran && !database.id.equals(newestPrimary);
            long position = ran ? ++database.log : 0;
            time.after(
                delay(), () -> deliver(() -> committed(database, term, ran, late, position)));
          });
    }

    private void committed(
        FleetModelDatabase database, long term, boolean ran, boolean late, long position) {
      if (ran && authority.mayAcknowledgeWrite(GROUP, database.id, term)) {
        commits++;
        if (late) {
          violations.add(name + " reported a commit at replaced " + database.id);
          note("violation", database.id, "proof " + confirmation.ageMillis() + " ms old");
        } else {
          reportedCommits = Math.max(reportedCommits, position);
        }
      }
      authority.writeEnded(GROUP);
    }

    private void read(FleetModelDatabase database, long term) {
      long needed = reportedCommits;
      time.after(
          delay(),
          () -> {
            boolean ran = database.up();
            long seen = database.log;
            time.after(
                delay(),
                () ->
                    deliver(
                        () -> {
                          if (ran && authority.leads(GROUP, database.id, term)) {
                            reads++;
                            if (seen < needed) {
                              violations.add(name + " read stale data at " + database.id);
                            }
                          }
                        }));
          });
    }

    private void promote(
        String group,
        String database,
        String holder,
        long fence,
        Consumer<PromotionService.Outcome> done) {
      int lateness = random.nextInt(10) == 0 ? random.nextInt(2_000) : delay();
      time.after(
          lateness,
          () -> {
            FleetModelDatabase target = databases.get(database);
            boolean up = target.up();
            if (up) {
              target.promote();
            }
            PromotionService.Outcome outcome =
                up ? PromotionService.Outcome.ACCEPTED : PromotionService.Outcome.NOT_RUNNING;
            boolean lost = random.nextInt(10) == 0;
            deliver(() -> done.accept(lost ? PromotionService.Outcome.RETRY : outcome));
          });
    }

    private void ask(Member member, Consumer<ModelHost> request, Consumer<Boolean> done) {
      @Nullable ModelHost other =
          hosts.stream().filter(each -> each.name.equals(member.name())).findFirst().orElse(null);
      boolean[] answered = {false};
      after(
          900,
          () -> {
            if (!answered[0]) {
              answered[0] = true;
              done.accept(false);
            }
          });
      if (other == null || cut() || other.cut()) {
        return;
      }
      time.after(
          delay(),
          () ->
              other.deliver(
                  () -> {
                    request.accept(other);
                    time.after(
                        delay(),
                        () ->
                            deliver(
                                () -> {
                                  if (!answered[0]) {
                                    answered[0] = true;
                                    done.accept(true);
                                  }
                                }));
                  }));
    }

    @Override
    public void revoke(Member member, String group, long revision, Consumer<Boolean> done) {
      if (planted == Planted.MEMBERS_ARE_NOT_ASKED) {
        done.accept(true);
        return;
      }
      ask(
          member,
          other -> {
            other.authority.revoke(group, revision);
            other.authority.revocationAcknowledged(group);
          },
          done);
    }

    @Override
    public void ping(Member member, Consumer<Boolean> done) {
      ask(member, other -> {}, done);
    }

    @Override
    public void confirmsStoreOutage(Member member, long lease, Consumer<Boolean> done) {
      boolean[] witnessed = {false};
      ask(
          member,
          other ->
              witnessed[0] =
                  other.epoch.confirmsStoreOutage(lease) && !other.duty.changeInProgress(),
          answered -> done.accept(answered && witnessed[0]));
    }

    @Override
    public void reaches(Member member, String group, String database, Consumer<Boolean> done) {
      boolean[] reached = {false};
      ask(
          member,
          other -> reached[0] = other.reachable(database),
          ok -> done.accept(ok && reached[0]));
    }

    @Override
    public Collection<String> groups() {
      return List.of(GROUP);
    }

    @Override
    public Collection<Candidate> candidates(String group) {
      return databases.values().stream()
          .map(each -> new Candidate(each.id, each.draining, each.primary, 1_000))
          .toList();
    }

    @Override
    public int syncReplicas(String group) {
      return 0;
    }

    @Override
    public void status(
        String group, String database, Consumer<DatabaseControl.@Nullable DatabaseStatus> done) {
      control(database, done, each -> {});
    }

    @Override
    public void stepDown(
        String group,
        String database,
        long term,
        Consumer<DatabaseControl.@Nullable DatabaseStatus> done) {
      control(
          database,
          done,
          each -> {
            if (each.term < term) {
              each.primary = false;
            }
          });
    }

    private void control(
        String database,
        Consumer<DatabaseControl.@Nullable DatabaseStatus> done,
        Consumer<FleetModelDatabase> action) {
      FleetModelDatabase target = databases.get(database);
      if (!reachable(database)) {
        after(300, () -> done.accept(null));
        return;
      }
      time.after(
          delay(),
          () -> {
            action.accept(target);
            DatabaseStatus status = target.status();
            time.after(delay(), () -> deliver(() -> done.accept(status)));
          });
    }
  }
}
