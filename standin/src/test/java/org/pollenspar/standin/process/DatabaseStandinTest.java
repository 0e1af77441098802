package org.pollenspar.standin.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.pollenspar.standin.process.DatabaseGroup.await;
import static org.pollenspar.standin.process.DatabaseGroup.run;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.process.PollensparException;

/** Tests the database stand-in through the PostgreSQL JDBC driver, in a group of three. */
class DatabaseStandinTest {
  private DatabaseGroup group;
  private Connection primary;

  @BeforeEach
  void start() throws SQLException {
    group = new DatabaseGroup(3);
    primary = group.connect(0);
    run(primary, "CREATE TABLE account (id text PRIMARY KEY, balance int8, note text)");
    run(primary, "INSERT INTO account VALUES ('a', 5, 'x'), ('b', 7, NULL)");
  }

  @AfterEach
  void stop() {
    group.close();
  }

  private static String sqlState(Connection connection, String sql) {
    return assertThrows(SQLException.class, () -> run(connection, sql)).getSQLState();
  }

  private void awaitReplicas() throws InterruptedException {
    Position wanted = group.database(0).state().position();
    await(() -> group.database(1).state().position().equals(wanted));
    await(() -> group.database(2).state().position().equals(wanted));
  }

  /**
   * Guards against wrong results or SQL states of the supported part of SQL, which would make tests
   * of the proxy pass or fail for reasons that a real database does not have.
   */
  @Nested
  class SqlDialect {
    @ParameterizedTest
    @CsvSource(
        delimiter = '~',
        textBlock =
            """
            SELECT * FROM account ORDER BY id                              ~ [a|5|x,b|7|null]
            SELECT count(*), sum(balance) FROM account                     ~ [2|12]
            SELECT balance - 1, 'own' FROM account WHERE id = 'b'          ~ [6|own]
            SELECT id FROM account WHERE balance >= 5 AND balance < 7      ~ [a]
            SELECT id FROM account WHERE note IS NULL                      ~ [b]
            SELECT id FROM account WHERE id IN ('b', 'c')                  ~ [b]
            SELECT id FROM account ORDER BY balance DESC LIMIT 1           ~ [b]
            SELECT sum(balance) FROM account WHERE id = 'none'             ~ [null]
            SELECT 1; SELECT 'it''s; /* no */'                             ~ [1] ; [it's; /* no */]
            UPDATE account SET balance = balance - 1 WHERE balance >= 7    ~ 1
            UPDATE account SET balance = 0 WHERE id = 'a' AND balance >= 9 ~ 0
            UPDATE account SET balance = 1 WHERE id = 'a' RETURNING balance ~ [1]
            DELETE FROM account WHERE id = 'a'; SELECT id FROM account     ~ 1 ; [b]
            INSERT INTO account (id) VALUES ('c') ON CONFLICT DO NOTHING   ~ 1
            INSERT INTO account (id) VALUES ('a') ON CONFLICT (id) DO NOTHING ~ 0
            CREATE TABLE IF NOT EXISTS account (id text)                   ~ 0
            SELECT balance FROM account WHERE id = ('a') AND balance = ('5'::int8) ~ [5]
            /* owner=r1 */ SELECT id FROM account WHERE balance = -(-7) -- end ~ [b]
            """)
    void statementReturnsResult(String sql, String expected) throws SQLException {
      assertEquals(expected.strip(), run(primary, sql.strip()));
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '~',
        textBlock =
            """
            SELEC 1                                             ~ 42601
            SELECT * FROM account WHERE                         ~ 42601
            SELECT * FROM missing                               ~ 42P01
            SELECT missing FROM account                         ~ 42703
            INSERT INTO account VALUES ('a', 1, 'dup')          ~ 23505
            INSERT INTO account (balance) VALUES (1)            ~ 23502
            INSERT INTO account VALUES ('c', 'text', 'x')       ~ 22P02
            CREATE TABLE account (id text)                      ~ 42P07
            CREATE TABLE t (id geometry)                        ~ 42704
            UPDATE account SET balance = 9223372036854775807 + 1 ~ 22003
            SELECT nothing()                                    ~ 42883
            """)
    void statementFailsWithSqlState(String sql, String state) {
      assertEquals(state, sqlState(primary, sql.strip()));
    }

    @Test
    void driverFeaturesAreSupported() throws SQLException {
      try (PreparedStatement update =
          primary.prepareStatement("UPDATE account SET balance = ?, note = ? WHERE id = ?")) {
        update.setLong(1, -3);
        update.setString(2, "it's");
        update.setString(3, "a");
        assertEquals(1, update.executeUpdate());
      }
      primary.setAutoCommit(false);
      assertEquals("[-3|it's]", run(primary, "SELECT balance, note FROM account WHERE id = 'a'"));
      primary.commit();
      primary.setReadOnly(true);
      assertEquals("25006", sqlState(primary, "DELETE FROM account"));
      primary.rollback();
      assertTrue(primary.isValid(5));
      assertEquals(Connection.TRANSACTION_READ_COMMITTED, primary.getTransactionIsolation());
    }
  }

  /**
   * Guards against transaction rules that differ from PostgreSQL: the scope of a query text with
   * several statements, failed transactions, isolation and the end of a connection.
   */
  @Nested
  class Transactions {
    @ParameterizedTest
    @CsvSource(
        delimiter = '~',
        textBlock =
            """
            UPDATE account SET balance = 0; SELECT * FROM missing                 ~ [5,7]
            BEGIN; UPDATE account SET balance = 0; SELECT * FROM missing; COMMIT  ~ [5,7]
            BEGIN; UPDATE account SET balance = 0; COMMIT; SELECT * FROM missing  ~ [0,0]
            UPDATE account SET balance = 0; SELEC                                 ~ [5,7]
            BEGIN; DELETE FROM account; ROLLBACK; SELECT * FROM missing           ~ [5,7]
            """)
    void errorSkipsTheRemainingStatements(String sql, String balances) throws SQLException {
      assertThrows(SQLException.class, () -> run(primary, sql));
      Connection other = group.connect(0);
      assertEquals(balances.replace(",", ","), run(other, "SELECT balance FROM account"));
    }

    @Test
    void failedTransactionRefusesStatementsUntilItsEnd() throws SQLException {
      run(primary, "BEGIN");
      assertEquals("42P01", sqlState(primary, "SELECT * FROM missing"));
      assertEquals("25P02", sqlState(primary, "SELECT 1"));
      run(primary, "COMMIT");
      assertEquals("[1]", run(primary, "SELECT 1"));
    }

    @Test
    void othersSeeOnlyCommittedRows() throws SQLException {
      Connection other = group.connect(0);
      run(primary, "BEGIN; UPDATE account SET balance = 1 WHERE id = 'a'");
      assertEquals("[1]", run(primary, "SELECT balance FROM account WHERE id = 'a'"));
      assertEquals("[5]", run(other, "SELECT balance FROM account WHERE id = 'a'"));
      run(primary, "COMMIT");
      assertEquals("[1]", run(other, "SELECT balance FROM account WHERE id = 'a'"));
    }

    @Test
    void closedConnectionRollsBackAndReleasesItsRowLocks() throws SQLException {
      run(primary, "BEGIN; UPDATE account SET balance = 1 WHERE id = 'a'");
      primary.close();
      Connection other = group.connect(0);
      assertEquals("1", run(other, "UPDATE account SET balance = balance - 1 WHERE id = 'a'"));
      assertEquals("[4]", run(other, "SELECT balance FROM account WHERE id = 'a'"));
    }

    @Test
    void statementsOfTwoOwnersInOneTransactionAreCounted() throws Exception {
      run(primary, "BEGIN; /* owner=r1 */ UPDATE account SET balance = 1 WHERE id = 'a'; COMMIT");
      assertEquals(
          0, DatabaseStatusClient.read(group.database(0)).path("mixed_owner_transactions").asInt());
      run(primary, "BEGIN; /* owner=r1 */ DELETE FROM account; /* owner=r2 */ SELECT 1; COMMIT");
      assertEquals(
          1, DatabaseStatusClient.read(group.database(0)).path("mixed_owner_transactions").asInt());
    }
  }

  /**
   * Guards against lost updates, duplicate keys and unlimited waits when two transactions use the
   * same rows.
   */
  @Nested
  class Locks {
    @Test
    void waitingUpdateReevaluatesItsConditions() throws Exception {
      Connection other = group.connect(0);
      String withdraw = "UPDATE account SET balance = balance - 4 WHERE id = 'a' AND balance >= 4";
      run(primary, "BEGIN; " + withdraw);
      CompletableFuture<String> second = runAsync(other, withdraw);
      run(primary, "COMMIT");
      assertEquals("0", second.get());
    }

    @Test
    void secondInsertOfAnUncommittedKeyWaitsAndFails() throws Exception {
      Connection other = group.connect(0);
      String insert = "INSERT INTO pollenspar.keys VALUES ('k', 'f', '', 1)";
      run(primary, "BEGIN; " + insert);
      CompletableFuture<String> second = runAsync(other, insert);
      run(primary, "COMMIT");
      assertEquals("23505", second.get());
    }

    @Test
    void deadlockIsDetected() throws Exception {
      Connection other = group.connect(0);
      run(primary, "BEGIN; UPDATE account SET note = 'p' WHERE id = 'a'");
      run(other, "BEGIN; UPDATE account SET note = 'o' WHERE id = 'b'");
      CompletableFuture<String> first =
          runAsync(primary, "UPDATE account SET note = 'p' WHERE id = 'b'");
      CompletableFuture<String> second =
          runAsync(other, "UPDATE account SET note = 'o' WHERE id = 'a'");
      assertTrue(List.of(first.get(), second.get()).contains("40P01"));
    }

    @Test
    void lockWaitIsBounded() throws SQLException {
      run(primary, "BEGIN; UPDATE account SET note = 'p' WHERE id = 'a'");
      assertEquals("55P03", sqlState(group.connect(0), "DELETE FROM account WHERE id = 'a'"));
    }

    private CompletableFuture<String> runAsync(Connection connection, String sql) {
      return CompletableFuture.supplyAsync(
          () -> {
            try {
              return run(connection, sql);
            } catch (SQLException e) {
              return e.getSQLState();
            }
          });
    }
  }

  /**
   * Guards against writes that a replica or a fenced primary accepts, and against logs that differ
   * after a failover.
   */
  @Nested
  class Roles {
    @Test
    void stateFollowsTheLog() throws SQLException {
      assertEquals("[n|d0|primary|1|1|3|1]", run(primary, "SELECT * FROM pollenspar.state('n')"));
      assertEquals(
          "[n|d0|primary|1|1|3|1]",
          run(primary, "SELECT * FROM pollenspar.wait_state('n', 2, 60000)"));
      assertEquals(
          "[n|d0|primary|1|1|3|1]", run(primary, "SELECT * FROM pollenspar.wait_state('n', 3, 1)"));
    }

    @Test
    void replicaServesReadsAndRefusesWrites() throws Exception {
      awaitReplicas();
      Connection replica = group.connect(1);
      assertEquals("[12]", run(replica, "SELECT sum(balance) FROM account"));
      assertEquals("25006", sqlState(replica, "DELETE FROM account"));
    }

    @Test
    void fencedPrimaryRefusesWritesAndOpenTransactions() throws SQLException {
      Connection open = group.connect(0);
      run(open, "BEGIN; UPDATE account SET balance = 0");
      assertTrue(group.database(0).fence(2));
      assertEquals("25006", sqlState(open, "COMMIT"));
      assertEquals("25006", sqlState(primary, "DELETE FROM account"));
      assertEquals("[5,7]", run(primary, "SELECT balance FROM account"));
      assertFalse(group.database(0).fence(1));
      assertFalse(group.promote(0, 1));
    }

    @Test
    void replicaFencedAtNewerTermRejectsEntriesOfTheOldPrimary() throws Exception {
      awaitReplicas();
      Position before = group.database(1).state().position();
      group.database(1).fence(2);
      run(primary, "DELETE FROM account");
      await(() -> group.database(2).state().position().offset() == before.offset() + 1);
      assertEquals(before, group.database(1).state().position());
    }

    @Test
    void entriesOfACutOffPrimaryAreTruncatedAfterAFailover() throws Exception {
      awaitReplicas();
      group.database(0).faults().partitioned = true;
      assertEquals("1", run(primary, "DELETE FROM account WHERE id = 'a'"));
      assertEquals("1", run(primary, "DELETE FROM account WHERE id = 'b'"));
      assertEquals(DatabaseRole.PRIMARY, group.database(0).state().role());
      group.database(1).fence(2);
      group.database(2).fence(2);
      assertTrue(group.promote(1, 2));
      Connection leader = group.connect(1);
      run(leader, "UPDATE account SET balance = 50 WHERE id = 'a'");
      group.database(0).faults().partitioned = false;
      await(
          () -> group.database(0).state().position().equals(group.database(1).state().position()));
      assertEquals(DatabaseRole.REPLICA, group.database(0).state().role());
      assertEquals(
          2, DatabaseStatusClient.read(group.database(0)).path("truncated_entries").asInt());
      assertEquals("[57]", run(group.connect(0), "SELECT sum(balance) FROM account"));
      assertThrows(SQLException.class, () -> run(primary, "SELECT 1"));
    }

    @Test
    void lagDelaysEntries() throws Exception {
      awaitReplicas();
      group.database(1).faults().lagMillis = 3_600_000;
      await(() -> offsetStaysOnceThePrimaryKnowsTheLag(group.database(1)));
      run(primary, "DELETE FROM account");
      await(() -> group.database(2).state().position().offset() == 4);
      assertEquals(3, group.database(1).state().position().offset());
      group.database(1).faults().lagMillis = 0;
      await(() -> group.database(1).state().position().offset() == 4);
    }

    /**
     * The primary learns a new lag with the reply to its next message, at most 100 ms later;
     * entries sent before that are not delayed.
     */
    private boolean offsetStaysOnceThePrimaryKnowsTheLag(DatabaseStandin database) {
      try {
        Thread.sleep(300);
        return database.state().position().offset() == 3;
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Guards against injected faults that do not cause the failure that they stand for. */
  @Nested
  class Faults {
    @Test
    void tooManyConnectionsAreRefused() throws SQLException {
      DatabaseOptions options = DatabaseOptions.immediate("small");
      options.maxConnections = 1;
      try (DatabaseStandin small = new DatabaseStandin(options);
          Connection first = java.sql.DriverManager.getConnection(small.jdbcUrl(), "t", "")) {
        SQLException refused =
            assertThrows(
                SQLException.class,
                () -> java.sql.DriverManager.getConnection(small.jdbcUrl(), "t", ""));
        assertEquals("53300", refused.getSQLState());
        assertTrue(first.isValid(5));
      }
    }

    @ParameterizedTest
    @CsvSource({"0, 1, 0, --max-connections", "1, 0, 0, --workers", "1, 1, -1, --service-ms"})
    void optionsOutOfRangeAreRejected(
        int connections, int workers, double millis, String expectedName) {
      DatabaseOptions options = DatabaseOptions.immediate("x");
      options.maxConnections = connections;
      options.workers = workers;
      options.serviceMillis = millis;
      PollensparException refused =
          assertThrows(PollensparException.class, () -> new DatabaseStandin(options).close());
      assertTrue(refused.error().message().contains(expectedName));
    }

    @Test
    void rejectedConnectionFailsWithCannotConnectNow() {
      group.database(1).faults().rejectConnections = true;
      SQLException refused = assertThrows(SQLException.class, () -> group.connect(1));
      assertEquals("57P03", refused.getSQLState());
    }

    @Test
    void commitSurvivesALostReply() throws SQLException {
      group.database(0).faults().lostCommitAnswers.set(1);
      assertThrows(SQLException.class, () -> run(primary, "DELETE FROM account WHERE id = 'a'"));
      assertEquals("[b]", run(group.connect(0), "SELECT id FROM account"));
    }

    @Test
    void truncatedReplyEndsTheConnection() {
      group.database(0).faults().truncatedAnswers.set(1);
      assertThrows(SQLException.class, () -> run(primary, "SELECT * FROM account"));
      assertThrows(SQLException.class, () -> run(primary, "SELECT 1"));
    }

    /**
     * The driver throws unchecked exceptions for some malformed replies, so callers must expect
     * both those and SQL exceptions.
     */
    @Test
    void garbageAnswersFailTheirStatements() throws SQLException {
      int unchecked = 0;
      for (int i = 0; i < 30; i++) {
        Connection connection = group.connect(0);
        connection.setNetworkTimeout(Runnable::run, 200);
        group.database(0).faults().garbageAnswers.set(1);
        Exception failure =
            assertThrows(Exception.class, () -> run(connection, "SELECT * FROM account"));
        unchecked += failure instanceof SQLException ? 0 : 1;
        assertEquals(0, group.database(0).faults().garbageAnswers.get());
      }
      assertTrue(
          unchecked < 30, "the driver reported none of 30 malformed replies as an SQLException");
    }
  }
}
