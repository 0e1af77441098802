package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.FakeTime;
import org.pollenspar.core.request.AnswerCode;

/** Guards the order of work at one database and what is refused at once. */
class ConnectionPoolTest {
  private final FakeTime time = new FakeTime();
  private final ScriptedDatabases databases = new ScriptedDatabases(time, 5);
  private final ConnectionPool pool =
      new ConnectionPool(
          SessionFixture.entry("p", "a", true), databases, SlotPermits.NONE, time, time);
  private final List<String> events = new ArrayList<>();

  /** A request that keeps its connection until a test gives it back. */
  private final class Request implements ConnectionRequest {
    final String name;
    final int priority;
    final long maxWaitMillis;
    PooledDatabaseConnection connection;

    Request(String name, int priority, long maxWaitMillis) {
      this.name = name;
      this.priority = priority;
      this.maxWaitMillis = maxWaitMillis;
    }

    @Override
    public int priority() {
      return priority;
    }

    @Override
    public long maxWaitNanos() {
      return maxWaitMillis * 1_000_000;
    }

    @Override
    public SessionState sessionState() {
      return new SessionState();
    }

    @Override
    public void granted(PooledDatabaseConnection granted) {
      connection = granted;
      events.add("granted " + name);
    }

    @Override
    public void refused(AnswerCode code, String reason) {
      events.add("refused " + name + " " + code);
    }
  }

  private Request acquire(String name, int priority, long maxWaitMillis) {
    Request request = new Request(name, priority, maxWaitMillis);
    pool.acquire(request);
    time.advance(5);
    return request;
  }

  @Nested
  class Order {

    @Test
    void mostUrgentRankComesFirst() {
      pool.share(1);
      Request first = acquire("first", 1, 1_000);
      acquire("low", 2, 1_000);
      acquire("urgent", 0, 1_000);
      pool.release(first.connection, time.steadyNanos());
      assertEquals(List.of("granted first", "granted urgent"), events);
    }

    @Test
    void waitBeyondThePatienceIsRefusedAtOnce() {
      pool.share(1);
      acquire("first", 0, 1_000);
      acquire("waiting", 0, 1_000);
      acquire("impatient", 0, 10);
      assertEquals(List.of("granted first", "refused impatient BUSY"), events);
    }

    @Test
    void withdrawnRequestGetsNothing() {
      pool.share(1);
      Request first = acquire("first", 0, 1_000);
      Request second = acquire("second", 0, 1_000);
      assertTrue(pool.withdraw(second));
      assertFalse(pool.withdraw(second));
      pool.release(first.connection, time.steadyNanos());
      assertEquals(List.of("granted first"), events);
    }
  }

  @Nested
  class Connections {

    @Test
    void stayWithinTheShare() {
      pool.share(2);
      for (int i = 0; i < 5; i++) {
        acquire("r" + i, 0, 10_000);
      }
      assertEquals(2, pool.connections());
      assertEquals(2, databases.connections.size());
    }

    @Test
    void lostOnesAreReplaced() {
      pool.share(1);
      Request first = acquire("first", 0, 1_000);
      first.connection.close();
      pool.release(first.connection, time.steadyNanos());
      acquire("second", 0, 1_000);
      assertEquals(List.of("granted first", "granted second"), events);
      assertEquals(2, databases.connections.size());
    }

    @Test
    void thatCannotBeOpenedRefuseWhatWaitsAndGrowInDelay() {
      databases.unreachable.add("p");
      acquire("first", 0, 1_000);
      acquire("second", 0, 1_000);
      assertEquals(List.of("refused first BUSY", "refused second BUSY"), events);
      assertFalse(pool.usable());
      databases.unreachable.clear();
      time.advance(2_000);
      acquire("third", 0, 1_000);
      assertEquals("granted third", events.get(2));
    }

    /** After a loss of power everywhere the databases still count the lost connections for 3 s. */
    @Test
    void refusedForTheLimitAreTriedAgainSoonHoweverOften() {
      databases.full.add("p");
      for (int i = 0; i < 10; i++) {
        acquire("r" + i, 0, 1_000);
        time.advance(200);
      }
      databases.full.clear();
      time.advance(150);
      events.clear();
      acquire("next", 0, 1_000);
      assertEquals(List.of("granted next"), events);
    }

    @Test
    void ofALeavingDatabaseAreClosedAndNothingIsLent() {
      Request first = acquire("first", 0, 1_000);
      pool.release(first.connection, time.steadyNanos());
      pool.retire();
      assertEquals(0, pool.connections());
      acquire("second", 0, 1_000);
      assertEquals("refused second BUSY", events.get(1));
    }
  }
}
