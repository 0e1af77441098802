package org.pollenspar.proxy.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.pollenspar.proxy.process.FleetFixture.done;
import static org.pollenspar.proxy.process.FleetFixture.join;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.HostState;

/** Tests complete proxies with stand-ins of the platform and the databases in one JVM. */
class ProxyTest {
  private static final String CREATE_TABLE =
      "CREATE TABLE stock (item text PRIMARY KEY, amount int8)";
  private static final String INSERT_ROW = "INSERT INTO stock (item, amount) VALUES ('book', 100)";
  private static final String DECREMENT =
      "UPDATE stock SET amount = amount - 1 WHERE item = 'book' AND amount >= 1";
  private static final String SELECT_AMOUNT = "SELECT amount FROM stock WHERE item = 'book'";

  private FleetFixture fleet;

  private String prepare(int proxyCount) throws InterruptedException {
    fleet = new FleetFixture(proxyCount);
    String session = fleet.session(0);
    session = done(fleet.work(0, session, "create", CREATE_TABLE)).path("session").textValue();
    return done(fleet.work(0, session, "fill", INSERT_ROW)).path("session").textValue();
  }

  @AfterEach
  void check() {
    assertEquals(List.of(), List.copyOf(fleet.failures));
    fleet.close();
  }

  private static String cell(JsonNode answer) {
    return answer.path("results").path(0).path("rows").path(0).path(0).textValue();
  }

  /** Tests the path of a request from a caller to the databases and back, and new versions. */
  @Nested
  class OneProxy {
    @Test
    void servesASessionAWriteAndARead() throws InterruptedException {
      String session = prepare(1);
      JsonNode write = done(fleet.work(0, session, "k", DECREMENT));
      assertEquals(1, write.path("results").path(0).path("updated").asInt());
      assertEquals(1, write.path("config_version").asInt());
      JsonNode read = done(fleet.work(0, write.path("session").textValue(), "", SELECT_AMOUNT));
      assertEquals("99", cell(read));
      assertEquals(0, fleet.violations());
    }

    @Test
    void aNewVersionIsUsedWithoutARestart() throws InterruptedException {
      String session = prepare(1);
      fleet.apply(2, FleetFixture.FILE.replace("kinds.balance", "kinds.lookup"));
      FleetFixture.await(() -> fleet.status(0).path("config_version").asLong() == 2);
      JsonNode refused = join(fleet.work(0, session, "", SELECT_AMOUNT));
      assertEquals("UNKNOWN_KIND", refused.path("error").path("name").textValue());
      assertEquals(2, done(fleet.work(0, session, "k", DECREMENT)).path("config_version").asInt());
    }

    @Test
    void unknownPathsAndMethodsAreRefused() throws InterruptedException {
      prepare(1);
      JsonNode refused = join(fleet.post(0, "/v1/nothing", "{}"));
      assertEquals(108, refused.path("error").path("number").asInt());
    }
  }

  /** Tests forwarding, sessions that change the proxy, draining, and hosts that leave. */
  @Nested
  class SeveralProxies {
    @Test
    void aSessionSeesItsWritesAtEveryProxy() throws InterruptedException {
      String session = prepare(5);
      for (int i = 0; i < 25; i++) {
        JsonNode write = done(fleet.work(i % 5, session, "k" + i, DECREMENT));
        session = write.path("session").textValue();
        JsonNode read = done(fleet.work((i + 2) % 5, session, "", SELECT_AMOUNT));
        assertEquals(Integer.toString(99 - i), cell(read));
      }
      assertEquals(0, fleet.violations());
    }

    @Test
    void aKeyRunsOnceAcrossAllProxies() throws InterruptedException {
      String session = prepare(5);
      for (int i = 0; i < 5; i++) {
        done(fleet.work(i, session, "k", DECREMENT));
      }
      assertEquals("99", cell(done(fleet.work(0, session, "", SELECT_AMOUNT))));
    }

    @Test
    void requestsSucceedWhileAProxyDrains() throws InterruptedException {
      String session = prepare(3);
      List<CompletableFuture<JsonNode>> answers = new ArrayList<>();
      Thread drain = new Thread(() -> fleet.proxies.get(2).drain());
      for (int i = 0; i < 60; i++) {
        answers.add(fleet.work(i % 2, session, "k" + i, DECREMENT));
        if (i == 20) {
          drain.start();
        }
        Thread.sleep(2);
      }
      for (CompletableFuture<JsonNode> answer : answers) {
        done(answer);
      }
      drain.join();
      assertEquals("40", cell(done(fleet.work(0, session, "", SELECT_AMOUNT))));
      assertEquals(ProxyState.DRAINING, fleet.proxies.get(2).state());
    }

    @Test
    void aDrainingProxyFinishesItsRequests() throws InterruptedException {
      String session = prepare(1);
      fleet.databases.get(0).faults().latencyMillis = 50;
      List<CompletableFuture<JsonNode>> answers = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        answers.add(fleet.work(0, session, "k" + i, DECREMENT));
      }
      FleetFixture.await(
          () -> fleet.status(0).path("groups").path("ledger").path("running").asInt() == 4);
      fleet.proxies.get(0).drain();
      for (CompletableFuture<JsonNode> answer : answers) {
        done(answer);
      }
    }

    @Test
    void aLeavingBackendServerGetsNoRequests() throws InterruptedException {
      String session = prepare(1);
      fleet.platform.changeHostState("b1", HostState.LEAVING);
      FleetFixture.await(
          () -> fleet.status(0).at("/groups/ledger/databases/d1/leaving").asBoolean());
      for (int i = 0; i < 20; i++) {
        JsonNode read = done(fleet.work(0, session, "", SELECT_AMOUNT));
        assertFalse(read.path("served_by").textValue().equals("d1"));
      }
      assertEquals(0, fleet.violations());
      assertTrue(fleet.status(0).at("/invariants/P7/checks").asLong() > 0);
    }
  }
}
