package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.FakeTime;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.version.Organisation;
import org.pollenspar.core.version.Organisation.RateLimit;
import org.pollenspar.core.version.Organisations;
import org.pollenspar.core.version.QuotaWindow;
import org.pollenspar.core.version.RouteTable;

/**
 * Hosts whose callers work for one organisation, on simulated time: the network between them can be
 * cut, hosts crash and start again, and a store holds the members and the limit. A host that the
 * store doesn't see is suspended and later removed, with the times of the real store's users.
 */
final class QuotaSimulation {
  static final String ORGANISATION = "acme";
  static final double EXCESS = 0.1;
  static final long WINDOW_MS = 5_000;
  private static final int SLACK = 20;
  private static final QuotaWindow QUOTA = new QuotaWindow(WINDOW_MS / 1_000.0, SLACK, EXCESS);
  private static final long CONFIRMATION_MS = 6_000;
  private static final long SUSPEND_MS = 3_500;
  private static final long REMOVE_MS = 7_000;
  private static final long STORE_INTERVAL_MS = 500;
  private static final int MAX_NEWS_MS = 100;

  final FakeTime time = new FakeTime();
  final Random random;
  final Map<String, SimulatedHost> hosts = new HashMap<>();

  /** Pairs of hosts, in the order "from>to", between which nothing arrives. */
  final Set<String> cuts = new HashSet<>();

  /** Hosts that don't reach the store. */
  final Set<String> withoutStore = new HashSet<>();

  /** Times at which operations ran, in milliseconds. */
  final List<Long> grants = new ArrayList<>();

  final List<Long> refusals = new ArrayList<>();

  /** Grants per host since the last {@link #resetCounts}. */
  final Map<String, Integer> grantsByHost = new HashMap<>();

  private final Map<String, Long> suspendedAt = new HashMap<>();
  private final Map<String, Long> seenAt = new HashMap<>();
  private final Map<String, Member> records = new HashMap<>();
  private long revision;

  /** Limits by version, with the times between which they may be in force somewhere. */
  private final List<long[]> validity = new ArrayList<>();

  private final List<RateLimit> limits = new ArrayList<>();

  QuotaSimulation(long seed, int count, RateLimit limit) {
    random = new Random(seed);
    limits.add(limit);
    validity.add(new long[] {0, Long.MAX_VALUE});
    for (int i = 0; i < count; i++) {
      start("h" + i);
    }
    storeTick();
    time.advance(200);
  }

  long now() {
    return time.steadyNanos() / 1_000_000;
  }

  /** Starts a host, or starts it again under its name. */
  void start(String name) {
    hosts.put(name, new SimulatedHost(name));
    register(name);
  }

  void crash(String name) {
    SimulatedHost host = hosts.remove(name);
    if (host != null) {
      host.alive = false;
      grantsByHost.remove(name);
    }
  }

  /** Stops a host in the orderly way. */
  void leave(String name) {
    crash(name);
    records.remove(name);
    suspendedAt.remove(name);
    seenAt.remove(name);
    publish();
  }

  static Member member(String name) {
    return new Member(name, name, "1", "d" + name.charAt(name.length() - 1) % 3, 1_000, false);
  }

  private void register(String name) {
    if (withoutStore.contains(name)) {
      return;
    }
    records.put(name, member(name));
    suspendedAt.remove(name);
    seenAt.put(name, now());
    publish();
  }

  void limit(RateLimit limit) {
    limits.add(limit);
    validity.add(new long[] {now(), Long.MAX_VALUE});
    publish();
  }

  /** Tells all hosts that reach the store what it contains, a little later. */
  private void publish() {
    revision++;
    hosts.values().forEach(this::publishTo);
  }

  private void publishTo(SimulatedHost host) {
    if (withoutStore.contains(host.name)) {
      return;
    }
    long published = revision;
    List<Member> members = List.copyOf(records.values());
    int version = limits.size() - 1;
    host.timers().after(random.nextInt(MAX_NEWS_MS), () -> host.learn(published, members, version));
  }

  private void storeTick() {
    for (SimulatedHost host : hosts.values()) {
      if (!withoutStore.contains(host.name)) {
        Member record = records.get(host.name);
        if (record == null || record.suspended()) {
          register(host.name);
        }
        seenAt.put(host.name, now());
        host.confirmedAt = now();
        if (host.knownRevision < revision) {
          publishTo(host);
        }
      }
    }
    for (String name : List.copyOf(records.keySet())) {
      Long suspended = suspendedAt.get(name);
      if (suspended == null && now() - seenAt.get(name) > SUSPEND_MS) {
        Member old = records.get(name);
        records.put(name, new Member(name, name, old.incarnation(), old.domain(), 1_000, true));
        suspendedAt.put(name, now());
        publish();
      } else if (suspended != null && now() - suspended > REMOVE_MS) {
        records.remove(name);
        suspendedAt.remove(name);
        publish();
      }
    }
    endOldLimits();
    time.after(STORE_INTERVAL_MS, this::storeTick);
  }

  /** A limit counts for one window after a later one is in force on all hosts. */
  private void endOldLimits() {
    for (int i = 0; i < limits.size() - 1; i++) {
      int version = i;
      if (validity.get(i)[1] == Long.MAX_VALUE
          && hosts.values().stream().allMatch(host -> host.version > version)) {
        validity.get(i)[1] = now() + WINDOW_MS;
      }
    }
  }

  /** Sends operations of all hosts' callers for a time, on average so many per second. */
  void load(double perSecond, long millis) {
    for (long i = 0; i < millis; i++) {
      for (SimulatedHost host : List.copyOf(hosts.values())) {
        if (random.nextDouble() < perSecond / 1_000 / hosts.size()) {
          host.operation();
        }
      }
      time.advance(1);
    }
  }

  void cut(String one, String other) {
    cuts.add(one + ">" + other);
    cuts.add(other + ">" + one);
  }

  void heal() {
    cuts.clear();
    withoutStore.clear();
  }

  void resetCounts() {
    grants.clear();
    refusals.clear();
    grantsByHost.clear();
  }

  /** Returns the coordinators of the organisation by one host's list. */
  QuotaSelection.Coordinators coordinators() {
    return hosts.values().iterator().next().selection.of(ORGANISATION);
  }

  /** Returns the first window with more grants than permitted; null if there is none. */
  @Nullable String violation() {
    int from = 0;
    for (int to = 0; to < grants.size(); to++) {
      while (grants.get(to) - grants.get(from) >= WINDOW_MS) {
        from++;
      }
      int count = to - from + 1;
      double permitted = permitted(grants.get(from), grants.get(to));
      if (count > permitted) {
        return count + " grants, permitted " + permitted + ", until " + grants.get(to) + " ms";
      }
    }
    return null;
  }

  private double permitted(long from, long to) {
    double most = 0;
    for (int i = 0; i < limits.size(); i++) {
      if (validity.get(i)[0] <= to && validity.get(i)[1] >= from) {
        RateLimit limit = limits.get(i);
        most = Math.max(most, limit.perSecond() * WINDOW_MS / 1_000 + limit.burst());
      }
    }
    return most * (1 + EXCESS) + SLACK;
  }

  /** One process of a host. */
  final class SimulatedHost implements QuotaMessages {
    final String name;
    final QuotaSelection selection;
    final QuotaCoordinators coordinators;
    final QuotaClient client;
    final List<String> events = new ArrayList<>();
    boolean alive = true;
    long confirmedAt = now();
    int messages;
    private Collection<Member> members = List.of();
    private RouteTable routes = RouteTable.EMPTY;
    private long knownRevision = -1;
    private int version = -1;

    SimulatedHost(String name) {
      this.name = name;
      selection = new QuotaSelection(() -> members);
      coordinators =
          new QuotaCoordinators(
              name,
              selection,
              () -> routes,
              () -> now() - confirmedAt < CONFIRMATION_MS,
              this,
              time,
              timers(),
              (event, subject, detail) -> events.add(now() + " " + event + " " + detail));
      client =
          new QuotaClient(
              name,
              selection,
              coordinators,
              this,
              QUOTA.uncoordinated(),
              time,
              timers(),
              (event, subject, detail) -> events.add(now() + " " + event + " " + detail));
    }

    /** Timers whose tasks don't run after a crash. */
    Timers timers() {
      return (delayMillis, task) ->
          time.after(
              delayMillis,
              () -> {
                if (alive) {
                  task.run();
                }
              });
    }

    private void learn(long newRevision, List<Member> newMembers, int newVersion) {
      if (newRevision <= knownRevision) {
        return;
      }
      knownRevision = newRevision;
      members = newMembers;
      coordinators.membersChanged();
      if (newVersion > version) {
        version = newVersion;
        routes =
            new RouteTable(
                newVersion,
                Map.of(),
                Map.of(),
                1,
                new Organisations(
                    Map.of(
                        ORGANISATION,
                        new Organisation(ORGANISATION, QUOTA.granted(limits.get(newVersion)))),
                    Map.of()));
        coordinators.assign();
      }
    }

    /** Asks for one operation; a few find no database and are given back. */
    void operation() {
      if (version < 0) {
        return;
      }
      client.ask(
          ORGANISATION,
          QUOTA.granted(limits.get(version)),
          version,
          new QuotaClient.Callback() {
            @Override
            public void granted(Runnable giveBack) {
              if (random.nextInt(20) == 0) {
                timers().after(random.nextInt(300), giveBack);
              } else {
                grants.add(now());
                grantsByHost.merge(name, 1, Integer::sum);
              }
            }

            @Override
            public void refused(long retryAfterMillis) {
              refusals.add(now());
            }
          });
    }

    /**
     * Delivers to another host after a moment, unless the way is cut; returns null if it's down.
     */
    private void deliver(String to, Consumer<@Nullable SimulatedHost> task) {
      messages++;
      time.after(
          1 + random.nextInt(5),
          () -> {
            if (!cuts.contains(name + ">" + to)) {
              task.accept(hosts.get(to));
            }
          });
    }

    private <T> void call(Member to, Consumer<@Nullable T> done, CallOnHost<T> callOnHost) {
      SimulatedHost caller = this;
      Consumer<@Nullable T> ifAlive =
          answer -> {
            if (alive) {
              done.accept(answer);
            }
          };
      deliver(
          to.name(),
          host -> {
            if (host == null) {
              ifAlive.accept(null);
            } else {
              callOnHost.run(
                  host, answer -> host.deliver(caller.name, back -> ifAlive.accept(answer)));
            }
          });
    }

    @Override
    public void ask(
        Member coordinator, QuotaRequest request, Consumer<@Nullable QuotaDecision> done) {
      this.<QuotaDecision>call(
          coordinator, done, (host, answer) -> host.coordinators.ask(request, answer));
    }

    @Override
    public void giveBack(Member coordinator, String organisation, boolean relayed) {
      deliver(
          coordinator.name(),
          host -> {
            if (host != null) {
              host.coordinators.giveBack(organisation, relayed);
            }
          });
    }

    @Override
    public void heartbeat(
        Member second,
        String organisation,
        String coordinator,
        long sharedMillis,
        Consumer<@Nullable QuotaAcknowledgement> done) {
      this.<QuotaAcknowledgement>call(
          second,
          done,
          (host, answer) ->
              host.coordinators.heartbeat(organisation, coordinator, sharedMillis, answer));
    }
  }

  /** A call of a host's coordinators. */
  private interface CallOnHost<T> {
    void run(SimulatedHost host, Consumer<T> answer);
  }
}
