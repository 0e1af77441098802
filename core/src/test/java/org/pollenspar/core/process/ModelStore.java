package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * A linearizable store on simulated time that can be down, refuse calls of single hosts, lose
 * answers and execute calls late.
 */
final class ModelStore {
  private static final int CALL_TIMEOUT_MS = 1_200;

  /** Delivers an answer to a host, now or when it runs again. */
  interface Delivery {
    void deliver(Runnable task);
  }

  /** A call, as the server executes it. */
  private interface Call {
    CoordinationStore.Reply run();
  }

  private final FakeTime time;
  private final RandomGenerator random;
  private final TreeMap<String, CoordinationStore.Item> items = new TreeMap<>();
  private final List<CoordinationStore.Item> history = new ArrayList<>();
  private final Map<Long, Long> leases = new HashMap<>();
  private final Map<Long, Long> leaseTtls = new HashMap<>();
  private final Map<String, Long> keyLeases = new HashMap<>();
  private final Map<String, Long> refused = new HashMap<>();
  private long revision = 1;
  private long nextLease = 1;
  private long downUntil;
  private long lossyUntil;

  ModelStore(FakeTime time, RandomGenerator random) {
    this.time = time;
    this.random = random;
  }

  void outage(int length) {
    downUntil = now() + length;
  }

  void refuse(String host, int length) {
    refused.put(host, now() + length);
  }

  /** Returns the value of a key now; null if it doesn't exist. */
  @Nullable String value(String key) {
    CoordinationStore.@Nullable Item item = items.get(key);
    return item == null ? null : item.value();
  }

  void loseAnswers(int length) {
    lossyUntil = now() + length;
  }

  private long now() {
    return time.steadyNanos() / 1_000_000;
  }

  private static CoordinationStore.Reply reply(
      CoordinationStore.Status status, List<CoordinationStore.Item> found, long at, long lease) {
    return new CoordinationStore.Reply(status, found, at, lease);
  }

  private CoordinationStore.Reply status(CoordinationStore.Status status) {
    return reply(status, List.of(), revision, 0);
  }

  CoordinationStore connection(String host, Delivery delivery) {
    return new Connection(host, delivery);
  }

  private void expireLeases() {
    for (Map.Entry<Long, Long> each : List.copyOf(leases.entrySet())) {
      if (each.getValue() < now()) {
        end(each.getKey());
      }
    }
  }

  private void end(long lease) {
    leases.remove(lease);
    for (Map.Entry<String, Long> each : List.copyOf(keyLeases.entrySet())) {
      if (each.getValue() == lease) {
        keyLeases.remove(each.getKey());
        delete(each.getKey(), ++revision);
      }
    }
  }

  private void delete(String key, long at) {
    if (items.remove(key) != null) {
      history.add(new CoordinationStore.Item(key, "", at, true));
    }
  }

  private CoordinationStore.Reply transact(
      List<CoordinationStore.Expectation> expected,
      List<CoordinationStore.Put> puts,
      List<String> deletes) {
    for (CoordinationStore.Expectation each : expected) {
      CoordinationStore.Item item = items.get(each.key());
      if ((item == null ? 0 : item.revision()) != each.revision()) {
        return status(CoordinationStore.Status.CONFLICT);
      }
    }
    for (CoordinationStore.Put put : puts) {
      if (put.lease() != 0 && !leases.containsKey(put.lease())) {
        return status(CoordinationStore.Status.NOT_FOUND);
      }
    }
    revision++;
    for (CoordinationStore.Put put : puts) {
      CoordinationStore.Item item =
          new CoordinationStore.Item(put.key(), put.value(), revision, false);
      items.put(put.key(), item);
      history.add(item);
      if (put.lease() != 0) {
        keyLeases.put(put.key(), put.lease());
      }
    }
    deletes.forEach(key -> delete(key, revision));
    return status(CoordinationStore.Status.DONE);
  }

  /** The connection of one host to the store. */
  private final class Connection implements CoordinationStore {
    private final String host;
    private final Delivery delivery;

    Connection(String host, Delivery delivery) {
      this.host = host;
      this.delivery = delivery;
    }

    private void call(Call call, Consumer<Reply> done) {
      int delayMillis = 1 + random.nextInt(4);
      time.after(delayMillis, () -> arrive(call, done));
    }

    private void arrive(Call call, Consumer<Reply> done) {
      expireLeases();
      boolean refusedHost = refused.getOrDefault(host, 0L) > now();
      if (refusedHost || now() < downUntil) {
        Status status = random.nextBoolean() ? Status.REFUSED : Status.UNKNOWN;
        int after = status == Status.REFUSED ? 2 : CALL_TIMEOUT_MS;
        time.after(after, () -> answer(done, status(status)));
        return;
      }
      if (now() < lossyUntil && random.nextInt(3) == 0) {
        if (random.nextBoolean()) {
          call.run();
        } else {
          time.after(1_000 + random.nextInt(5_000), call::run);
        }
        time.after(CALL_TIMEOUT_MS, () -> answer(done, status(Status.UNKNOWN)));
        return;
      }
      Reply reply = call.run();
      time.after(1 + random.nextInt(4), () -> answer(done, reply));
    }

    private void answer(Consumer<Reply> done, Reply reply) {
      delivery.deliver(() -> done.accept(reply));
    }

    @Override
    public void range(String prefix, Consumer<Reply> done) {
      call(
          () ->
              reply(
                  Status.DONE,
                  items.values().stream().filter(each -> each.key().startsWith(prefix)).toList(),
                  revision,
                  0),
          done);
    }

    @Override
    public void watch(String prefix, long afterRevision, long waitMillis, Consumer<Reply> done) {
      call(
          () ->
              reply(
                  Status.DONE,
                  history.stream().filter(each -> each.revision() > afterRevision).toList(),
                  revision,
                  0),
          done);
    }

    @Override
    public void transact(
        List<Expectation> expected, List<Put> puts, List<String> deletes, Consumer<Reply> done) {
      call(() -> ModelStore.this.transact(expected, puts, deletes), done);
    }

    @Override
    public void grantLease(long ttlMillis, Consumer<Reply> done) {
      call(
          () -> {
            long lease = nextLease++;
            leaseTtls.put(lease, ttlMillis);
            leases.put(lease, now() + ttlMillis);
            return reply(Status.DONE, List.of(), revision, lease);
          },
          done);
    }

    @Override
    public void renewLease(long lease, Consumer<Reply> done) {
      call(
          () -> {
            if (!leases.containsKey(lease)) {
              return status(Status.NOT_FOUND);
            }
            leases.put(lease, now() + leaseTtls.get(lease));
            return status(Status.DONE);
          },
          done);
    }

    @Override
    public void endLease(long lease, Consumer<Reply> done) {
      call(
          () -> {
            boolean known = leases.containsKey(lease);
            end(lease);
            return status(known ? Status.DONE : Status.NOT_FOUND);
          },
          done);
    }
  }
}
