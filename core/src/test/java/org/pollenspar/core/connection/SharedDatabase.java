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
 * Simulation of one database that many hosts use: the real connection pools of the hosts, a model
 * of a database that serves in order of arrival, and callers that count timely answers, late
 * answers and refusals.
 *
 * <p>Rates, work times and target latencies are those of the deployments; work times are
 * log-normal.
 */
final class SharedDatabase implements PhysicalConnection.Opener {
  static final int HOSTS = 17;
  private static final int SLOTS = 3;
  private static final int DATABASE_QUEUE = 64;
  private static final double LOG_NORMAL_SIGMA = 0.7;
  private static final long NETWORK_DELAY_MS = 2;

  /** Number of values of each session value; a connection rarely has the values of a caller. */
  private static final int VALUES_PER_SETTING = 6;

  private static final long CONNECT_MS = 12;
  private static final long MILLI = 1_000_000;
  private static final long[] WORK_MS = {6, 18, 30};
  private static final long[] TARGET_LATENCY_MS = {150, 250, 1_000};

  /** Counts of the requests of one rank, by outcome. */
  static final class RankCounts {
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
  final RankCounts[] ranks = {new RankCounts(), new RankCounts(), new RankCounts()};
  private final SplittableRandom random = new SplittableRandom(7);
  private final List<ConnectionPool> pools = new ArrayList<>();
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  private int busySlots;
  private double busySlotMillis;

  /** Creates hosts with a number of connections each. */
  SharedDatabase(Function<FakeTime, SlotPermits> permits, int connections) {
    SlotPermits permitService = permits.apply(time);
    for (int host = 0; host < HOSTS; host++) {
      ConnectionPool pool =
          new ConnectionPool(SessionFixture.entry("p", "a", true), this, permitService, time, time);
      pool.share(connections);
      pools.add(pool);
    }
  }

  /** Returns permits of a broker on one of the hosts, which is reached over the network. */
  static SlotPermits brokered(FakeTime time) {
    SlotBrokers brokers = new SlotBrokers(time, time);
    return new SlotPermits() {
      @Override
      public void ask(DatabaseEntry database, SlotPermitRequest permitRequest) {
        time.after(
            NETWORK_DELAY_MS,
            () ->
                brokers.ask(
                    database.id(),
                    database.capacity(),
                    new RemotePermitRequest(permitRequest, time)));
      }

      @Override
      public void end(DatabaseEntry database, SlotPermitRequest permitRequest, long delayMillis) {
        time.after(
            NETWORK_DELAY_MS,
            () ->
                brokers.end(
                    database.id(), new RemotePermitRequest(permitRequest, time), delayMillis));
      }
    };
  }

  /**
   * A permit request whose answers travel over the network. Wrappers of one permit request are
   * equal.
   */
  private record RemotePermitRequest(SlotPermitRequest permitRequest, FakeTime time)
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
      time.after(NETWORK_DELAY_MS, permitRequest::queued);
    }

    @Override
    public void granted() {
      time.after(NETWORK_DELAY_MS, permitRequest::granted);
    }

    @Override
    public void refused(long retryAfterMillis) {
      time.after(NETWORK_DELAY_MS, () -> permitRequest.refused(retryAfterMillis));
    }

    @Override
    public void brokerUnavailable() {
      time.after(NETWORK_DELAY_MS, permitRequest::brokerUnavailable);
    }
  }

  /** Applies a load; the rates are requests per second over all hosts, by rank. */
  void applyLoad(int seconds, double... rates) {
    for (int milli = 0; milli < seconds * 1_000; milli++) {
      for (int rank = 0; rank < rates.length; rank++) {
        if (random.nextDouble() < rates[rank] / 1_000) {
          arrive(rank);
        }
      }
      time.advance(1);
    }
  }

  /** Resets all counts. */
  void resetCounts() {
    Arrays.setAll(ranks, rank -> new RankCounts());
    busySlotMillis = 0;
  }

  /** Returns the share of the slot time that was used since {@link #resetCounts}. */
  double slotUtilization(int seconds) {
    return busySlotMillis / (SLOTS * seconds * 1_000.0);
  }

  private void arrive(int rank) {
    ranks[rank].offered++;
    ConnectionPool pool = pools.get(random.nextInt(HOSTS));
    new CallerRequest(pool, rank, ranks[rank], time.steadyNanos()).start();
  }

  /** Returns a log-normal work time with the rank's mean, as widely spread as in deployments. */
  private long workMillis(int rank) {
    double factor =
        Math.exp(
            LOG_NORMAL_SIGMA * random.nextGaussian() - LOG_NORMAL_SIGMA * LOG_NORMAL_SIGMA / 2);
    return Math.max(1, Math.round(WORK_MS[rank] * factor));
  }

  /** A caller's statement. */
  private final class CallerRequest implements ConnectionRequest {
    private final ConnectionPool pool;
    private final int rank;
    private final RankCounts counts;
    private final long arrivedNanos;
    private final SessionState sessionState = new SessionState();

    CallerRequest(ConnectionPool pool, int rank, RankCounts counts, long arrivedNanos) {
      this.pool = pool;
      this.rank = rank;
      this.counts = counts;
      this.arrivedNanos = arrivedNanos;
      sessionState.set("unit", String.valueOf(random.nextInt(VALUES_PER_SETTING)));
      sessionState.set("locale", String.valueOf(random.nextInt(VALUES_PER_SETTING)));
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
      return TARGET_LATENCY_MS[rank] * MILLI - (time.steadyNanos() - arrivedNanos);
    }

    @Override
    public SessionState sessionState() {
      return sessionState;
    }

    @Override
    public void granted(PooledDatabaseConnection connection) {
      connection.restoreSession(sessionState, null, failure -> run(connection));
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
      } else if (tookMillis() <= TARGET_LATENCY_MS[rank]) {
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
  public void open(
      DatabaseEntry database, String organisation, PhysicalConnection.OpenListener listener) {
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
        time.after(2 * NETWORK_DELAY_MS, () -> done.accept(Answer.local(TransactionState.IDLE)));
      }
    }

    @Override
    public boolean usable() {
      return true;
    }

    @Override
    public void close() {}
  }

  private void offer(LongSupplier workMillis, Consumer<Answer> done) {
    Consumer<Answer> answerAfterDelay =
        answer -> time.after(NETWORK_DELAY_MS, () -> done.accept(answer));
    time.after(
        NETWORK_DELAY_MS,
        () -> {
          if (queue.size() >= DATABASE_QUEUE) {
            answerAfterDelay.accept(Answer.error(AnswerCode.BUSY, "full", TransactionState.IDLE));
            return;
          }
          queue.add(new Work(workMillis.getAsLong(), answerAfterDelay));
          serve();
        });
  }

  private void serve() {
    @Nullable Work next = busySlots < SLOTS ? queue.poll() : null;
    if (next == null) {
      return;
    }
    busySlots++;
    busySlotMillis += next.workMillis();
    time.after(
        next.workMillis(),
        () -> {
          busySlots--;
          next.done()
              .accept(new Answer(AnswerCode.OK, List.of("row"), "s", TransactionState.IDLE, null));
          serve();
        });
  }
}
