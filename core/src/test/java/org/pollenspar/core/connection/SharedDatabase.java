package org.pollenspar.core.connection;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.FakeTime;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;

/**
 * One database behind many hosts, on simulated time: the hosts' real pools, a database that serves
 * in order of arrival, and callers who get an answer, a refusal, or nothing in time.
 *
 * <p>Rates, work times and objectives are those of the deployments; work times are log-normal.
 */
final class SharedDatabase implements PhysicalConnection.Opener {
  static final int HOSTS = 17;
  private static final int SLOTS = 3;
  private static final int DATABASE_QUEUE = 64;
  private static final double SPREAD = 0.7;
  private static final long WAY_MS = 2;

  /** Different values of each setting among the callers; a connection is rarely set as needed. */
  private static final int VALUES = 6;

  private static final long CONNECT_MS = 12;
  private static final long MILLI = 1_000_000;
  private static final long[] WORK_MS = {6, 18, 30};
  private static final long[] OBJECTIVE_MS = {150, 250, 1_000};

  /** What one rank was offered and got. */
  static final class Rank {
    int offered;
    int inTime;
    int late;
    int refused;
    long longestRefusalMillis;

    double shareInTime() {
      return (double) inTime / offered;
    }
  }

  private record Work(long workMillis, Consumer<Answer> done) {}

  final FakeTime time = new FakeTime();
  final Rank[] ranks = {new Rank(), new Rank(), new Rank()};
  private final SplittableRandom random = new SplittableRandom(7);
  private final List<ConnectionPool> pools = new ArrayList<>();
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  private int busy;
  private double busyMillis;

  /** Creates hosts with a number of connections each, and permits on the simulated time. */
  SharedDatabase(Function<FakeTime, SlotPermits> permits, int connections) {
    SlotPermits service = permits.apply(time);
    for (int host = 0; host < HOSTS; host++) {
      ConnectionPool pool =
          new ConnectionPool(SessionFixture.entry("p", "a", true), this, service, time, time);
      pool.share(connections);
      pools.add(pool);
    }
  }

  /** A broker on one of the hosts, reached over the network. */
  static SlotPermits brokered(FakeTime time) {
    SlotBrokers brokers = new SlotBrokers(time, time);
    return new SlotPermits() {
      @Override
      public void ask(DatabaseEntry database, SlotPermitRequest permitRequest) {
        time.after(
            WAY_MS,
            () -> brokers.ask(database.id(), database.capacity(), new Remote(permitRequest, time)));
      }

      @Override
      public void end(DatabaseEntry database, SlotPermitRequest permitRequest, long delayMillis) {
        time.after(
            WAY_MS, () -> brokers.end(database.id(), new Remote(permitRequest, time), delayMillis));
      }
    };
  }

  /**
   * A permitRequest whose answers travel over the network; equal to others of the same
   * permitRequest.
   */
  private record Remote(SlotPermitRequest permitRequest, FakeTime time)
      implements SlotPermitRequest {
    @Override
    public int priority() {
      return permitRequest.priority();
    }

    @Override
    public long maxWaitMillis() {
      return permitRequest.maxWaitMillis();
    }

    @Override
    public void queued() {
      time.after(WAY_MS, permitRequest::queued);
    }

    @Override
    public void granted() {
      time.after(WAY_MS, permitRequest::granted);
    }

    @Override
    public void refused(long retryAfterMillis) {
      time.after(WAY_MS, () -> permitRequest.refused(retryAfterMillis));
    }

    @Override
    public void brokerUnavailable() {
      time.after(WAY_MS, permitRequest::brokerUnavailable);
    }
  }

  /** Offers work for a time, with rates by rank in requests a second over all hosts. */
  void play(int seconds, double... rates) {
    for (int milli = 0; milli < seconds * 1_000; milli++) {
      for (int rank = 0; rank < rates.length; rank++) {
        if (random.nextDouble() < rates[rank] / 1_000) {
          arrive(rank);
        }
      }
      time.advance(1);
    }
  }

  /** Forgets what was counted so far. */
  void count() {
    Arrays.setAll(ranks, rank -> new Rank());
    busyMillis = 0;
  }

  /** Returns the part of the slots that was used since {@link #count}. */
  double used(int seconds) {
    return busyMillis / (SLOTS * seconds * 1_000.0);
  }

  private void arrive(int rank) {
    ranks[rank].offered++;
    ConnectionPool pool = pools.get(random.nextInt(HOSTS));
    new CallerRequest(pool, rank, ranks[rank], time.steadyNanos()).start();
  }

  /** Returns a work time as wide as those of the deployments: log-normal with the rank's mean. */
  private long workMillis(int rank) {
    double factor = Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2);
    return Math.max(1, Math.round(WORK_MS[rank] * factor));
  }

  /** One caller's statement. */
  private final class CallerRequest implements ConnectionRequest {
    private final ConnectionPool pool;
    private final int rank;
    private final Rank counts;
    private final long arrivedNanos;
    private final SessionState sessionState = new SessionState();

    CallerRequest(ConnectionPool pool, int rank, Rank counts, long arrivedNanos) {
      this.pool = pool;
      this.rank = rank;
      this.counts = counts;
      this.arrivedNanos = arrivedNanos;
      sessionState.set("unit", String.valueOf(random.nextInt(VALUES)));
      sessionState.set("locale", String.valueOf(random.nextInt(VALUES)));
    }

    void start() {
      pool.acquire(this);
    }

    private long tookMillis() {
      return (time.steadyNanos() - arrivedNanos) / MILLI;
    }

    @Override
    public int priority() {
      return rank;
    }

    @Override
    public long maxWaitNanos() {
      return OBJECTIVE_MS[rank] * MILLI - (time.steadyNanos() - arrivedNanos);
    }

    @Override
    public SessionState sessionState() {
      return sessionState;
    }

    @Override
    public void granted(PooledDatabaseConnection connection) {
      connection.prepare(sessionState, null, failure -> run(connection));
    }

    private void run(PooledDatabaseConnection connection) {
      long granted = time.steadyNanos();
      DatabaseCommand command =
          new DatabaseCommand.Forward(
              String.valueOf(rank), new SessionStatement.Read("READ x"), null, null);
      connection.run(
          command,
          answer -> {
            pool.recordAnswer(rank, answer.code(), time.steadyNanos() - granted);
            pool.release(connection, granted);
            finish(answer);
          });
    }

    private void finish(Answer answer) {
      if (!answer.ok()) {
        counts.refused++;
      } else if (tookMillis() <= OBJECTIVE_MS[rank]) {
        counts.inTime++;
      } else {
        counts.late++;
      }
    }

    @Override
    public void refused(AnswerCode code, String reason) {
      counts.refused++;
      counts.longestRefusalMillis = Math.max(counts.longestRefusalMillis, tookMillis());
    }
  }

  @Override
  public void open(DatabaseEntry database, PhysicalConnection.OpenListener listener) {
    offer(
        () -> CONNECT_MS,
        answer -> listener.opened(new ModelConnection(), Answer.local(TransactionState.IDLE)));
  }

  /** A connection to the database. */
  private final class ModelConnection implements PhysicalConnection {
    @Override
    public void run(DatabaseCommand command, Consumer<Answer> done) {
      if (command instanceof DatabaseCommand.Forward forward) {
        offer(() -> workMillis(Integer.parseInt(forward.id())), done);
      } else {
        time.after(2 * WAY_MS, () -> done.accept(Answer.local(TransactionState.IDLE)));
      }
    }

    @Override
    public void close() {}
  }

  private void offer(LongSupplier workMillis, Consumer<Answer> done) {
    Consumer<Answer> back = answer -> time.after(WAY_MS, () -> done.accept(answer));
    time.after(
        WAY_MS,
        () -> {
          if (queue.size() >= DATABASE_QUEUE) {
            back.accept(Answer.error(AnswerCode.BUSY, "full", TransactionState.IDLE));
            return;
          }
          queue.add(new Work(workMillis.getAsLong(), back));
          serve();
        });
  }

  private void serve() {
    @Nullable Work next = busy < SLOTS ? queue.poll() : null;
    if (next == null) {
      return;
    }
    busy++;
    busyMillis += next.workMillis();
    time.after(
        next.workMillis(),
        () -> {
          busy--;
          next.done()
              .accept(new Answer(AnswerCode.OK, List.of("row"), "s", TransactionState.IDLE, null));
          serve();
        });
  }
}
