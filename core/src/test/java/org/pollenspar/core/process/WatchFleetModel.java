package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Hosts of one failure domain that follow a store on simulated time. Hosts can be paused, killed
 * and cut off from the store, and the store can drop its history or keep watches without answers.
 */
final class WatchFleetModel {
  static final long APPLY_MS = 3_000;

  final FakeTime time = new FakeTime();
  final Map<String, WatchingHost> hosts = new TreeMap<>();
  final List<String> violations = new ArrayList<>();
  final Map<String, CoordinationStore.Item> items = new TreeMap<>();
  final Set<String> cutOff = new HashSet<>();
  final List<Long> watchWaits = new ArrayList<>();
  final RandomGenerator random;
  long longestDelayMillis;
  int ranges;
  boolean deaf;
  private final List<CoordinationStore.Item> events = new ArrayList<>();
  private final List<StoreWatch> waiting = new ArrayList<>();
  private long revision = 1;
  private long droppedTo;
  private long silencedAt;

  WatchFleetModel(RandomGenerator random, int size) {
    this.random = random;
    for (int i = 0; i < size; i++) {
      add("host" + i);
    }
  }

  long now() {
    return time.steadyNanos() / 1_000_000;
  }

  WatchingHost add(String name) {
    Member member = new Member(name, name, "1", "a", 1_000, false);
    write(ControlKeys.member(name), ControlKeys.encode(member));
    WatchingHost host = new WatchingHost(member);
    hosts.put(name, host);
    host.follower.start();
    return host;
  }

  WatchingHost watcher() {
    return hosts.values().stream()
        .filter(host -> host.watch.watchesForDomain())
        .findFirst()
        .orElseThrow();
  }

  void kill(WatchingHost host) {
    hosts.remove(host.member.name());
    host.frozenUntil = Long.MAX_VALUE;
  }

  /** Writes a key, or deletes it if the value is empty, and checks later that all hosts know. */
  long write(String key, String value) {
    CoordinationStore.Item item =
        new CoordinationStore.Item(key, value, ++revision, value.isEmpty());
    events.add(item);
    if (item.deleted()) {
      items.remove(key);
    } else {
      items.put(key, item);
    }
    List.copyOf(waiting).forEach(watch -> watch.answerIfEvents());
    long written = now();
    Set<WatchingHost> undisturbed = new HashSet<>(hosts.values());
    checkLater(item, written, undisturbed);
    return revision;
  }

  private void checkLater(CoordinationStore.Item item, long written, Set<WatchingHost> missing) {
    missing.removeIf(
        host -> {
          boolean disturbed = host.disturbedAt >= written - 2_000 || now() < host.frozenUntil;
          boolean known = host.position >= item.revision();
          if (known && !disturbed) {
            longestDelayMillis = Math.max(longestDelayMillis, now() - written);
          }
          return disturbed || known || cutOff.contains(host.member.name());
        });
    if (now() - written >= APPLY_MS) {
      missing.forEach(host -> violations.add(host.member.name() + " lacks " + item));
    } else if (!missing.isEmpty()) {
      time.after(10, () -> checkLater(item, written, missing));
    }
  }

  /** Changes the store's revision without a change of a key. */
  void skipRevisions(int count) {
    revision += count;
  }

  /**
   * Lets watches that begin within the next 300 ms deliver nothing. Rare enough that no two
   * consecutive watches of a host do so, because these may take the whole bound.
   */
  void silenceWatches() {
    if (now() - silencedAt > APPLY_MS) {
      silencedAt = now();
      deaf = true;
      time.after(300, () -> deaf = false);
    }
  }

  void dropHistory() {
    droppedTo = revision;
    // A store that drops its history ends watches, as after a restart.
    List.copyOf(waiting).forEach(watch -> watch.end(CoordinationStore.Status.UNKNOWN));
  }

  void cutOff(WatchingHost host) {
    cutOff.add(host.member.name());
    List.copyOf(waiting).stream()
        .filter(watch -> watch.host == host)
        .forEach(watch -> watch.end(CoordinationStore.Status.UNKNOWN));
  }

  void reconnect(WatchingHost host) {
    cutOff.remove(host.member.name());
    host.disturbedAt = now();
  }

  /** A watch call that the store has received. */
  private final class StoreWatch {
    final WatchingHost host;
    private final long after;
    private final boolean silent = deaf;
    private final Consumer<CoordinationStore.Reply> done;

    StoreWatch(WatchingHost host, long after, Consumer<CoordinationStore.Reply> done) {
      this.host = host;
      this.after = after;
      this.done = done;
    }

    void answerIfEvents() {
      if (!silent && events.stream().anyMatch(item -> item.revision() > after)) {
        end(CoordinationStore.Status.DONE);
      }
    }

    void end(CoordinationStore.Status status) {
      if (waiting.remove(this)) {
        List<CoordinationStore.Item> found =
            silent ? List.of() : events.stream().filter(e -> e.revision() > after).toList();
        long at = revision;
        host.reply(done, new CoordinationStore.Reply(status, found, at, 0));
      }
    }
  }

  /** A host, its connection to the store and its messages. */
  final class WatchingHost implements Timers, StoreFollower.Listener {
    final Member member;
    final FleetTable table = new FleetTable(new PrimaryAuthority(new Confirmation(time)), time);
    final SharedWatch watch;
    final StoreFollower follower;
    final Map<String, CoordinationStore.Item> copy = new HashMap<>();
    final List<String> log = new ArrayList<>();
    long frozenUntil;
    long disturbedAt = now();
    private final List<Runnable> deferred = new ArrayList<>();

    /** Revision up to which the host has received all events, or read everything. */
    private long position;

    WatchingHost(Member member) {
      this.member = member;
      CoordinationStore store =
          new UnusedStore() {
            @Override
            public void range(String prefix, Consumer<Reply> done) {
              ranges++;
              time.after(2, () -> answerRange(done));
            }

            @Override
            public void watch(
                String prefix, long afterRevision, long waitMillis, Consumer<Reply> done) {
              watchWaits.add(waitMillis);
              time.after(2, () -> arrive(afterRevision, waitMillis, done));
            }
          };
      this.watch =
          new SharedWatch(
              store,
              table,
              new UnusedMessages() {
                @Override
                public void ping(Member to, Consumer<Boolean> done) {
                  WatchingHost other = hosts.get(to.name());
                  boolean answers = other != null && now() >= other.frozenUntil;
                  time.after(answers ? 2 : 900, () -> deliver(() -> done.accept(answers)));
                }

                @Override
                public void watch(
                    Member to,
                    long afterRevision,
                    long waitMillis,
                    Consumer<CoordinationStore.Reply> done) {
                  send(to, afterRevision, waitMillis, done);
                }
              },
              this,
              time,
              member,
              8,
              APPLY_MS,
              () -> true,
              (event, subject, detail) -> log.add(event));
      this.follower = new StoreFollower(store, watch, this, this);
    }

    private void answerRange(Consumer<CoordinationStore.Reply> done) {
      boolean cut = cutOff.contains(member.name());
      long at = revision;
      List<CoordinationStore.Item> all = List.copyOf(items.values());
      reply(
          reply -> {
            if (reply.done()) {
              position = Math.max(position, at);
              table.load(
                  all.stream().filter(each -> ControlKeys.isMember(each.key())).toList(), at);
            }
            done.accept(reply);
          },
          new CoordinationStore.Reply(
              cut ? CoordinationStore.Status.REFUSED : CoordinationStore.Status.DONE, all, at, 0));
    }

    private void arrive(long after, long waitMillis, Consumer<CoordinationStore.Reply> done) {
      StoreWatch call = new StoreWatch(this, after, done);
      waiting.add(call);
      if (cutOff.contains(member.name())) {
        call.end(CoordinationStore.Status.REFUSED);
      } else if (after < droppedTo) {
        call.end(CoordinationStore.Status.COMPACTED);
      } else {
        call.answerIfEvents();
        time.after(waitMillis, () -> call.end(CoordinationStore.Status.DONE));
      }
    }

    private void reply(Consumer<CoordinationStore.Reply> done, CoordinationStore.Reply reply) {
      time.after(1 + random.nextInt(4), () -> deliver(() -> done.accept(reply)));
    }

    private void send(
        Member to, long after, long waitMillis, Consumer<CoordinationStore.Reply> done) {
      WatchingHost other = hosts.get(to.name());
      if (other != null) {
        time.after(
            1,
            () ->
                other.deliver(
                    () -> other.watch.poll(after, waitMillis, answer -> reply(done, answer))));
      }
    }

    void freeze(int millis) {
      frozenUntil = now() + millis;
      time.after(
          millis,
          () -> {
            disturbedAt = now();
            List<Runnable> all = List.copyOf(deferred);
            deferred.clear();
            all.forEach(Runnable::run);
          });
    }

    private void deliver(Runnable task) {
      if (now() < frozenUntil) {
        deferred.add(task);
      } else {
        task.run();
      }
    }

    @Override
    public Timer after(long delayMillis, Runnable task) {
      boolean[] cancelled = {false};
      time.after(
          delayMillis,
          () ->
              deliver(
                  () -> {
                    if (!cancelled[0]) {
                      task.run();
                    }
                  }));
      return () -> cancelled[0] = true;
    }

    long revisionOf(String key) {
      return copy.containsKey(key) ? copy.get(key).revision() : 0;
    }

    @Override
    public void loaded(List<CoordinationStore.Item> all) {
      Map<String, CoordinationStore.Item> fresh = new HashMap<>();
      all.forEach(item -> fresh.put(item.key(), item));
      copy.replaceAll(
          (key, old) ->
              fresh.getOrDefault(key, new CoordinationStore.Item(key, "", position, true)));
      copy.putAll(fresh);
    }

    @Override
    public void changed(CoordinationStore.Item item) {
      for (CoordinationStore.Item event : events) {
        if (event.revision() > position && event.revision() < item.revision()) {
          violations.add(member.name() + " received " + item + " without " + event);
        }
      }
      position = Math.max(position, item.revision());
      if (item.revision() >= revisionOf(item.key())) {
        copy.put(item.key(), item);
      }
      if (ControlKeys.isMember(item.key())) {
        table.apply(item);
      }
    }

    @Override
    public void eventsLost(CoordinationStore.Status status, long afterRevision) {}

    /** Returns the present values. */
    Map<String, CoordinationStore.Item> state() {
      Map<String, CoordinationStore.Item> present = new TreeMap<>(copy);
      present.values().removeIf(CoordinationStore.Item::deleted);
      return present;
    }
  }
}
