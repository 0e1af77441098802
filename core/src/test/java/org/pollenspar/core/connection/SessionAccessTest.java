package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;
import org.pollenspar.core.version.RouteTable;

/**
 * Guards against statements that run for callers whose key is unknown or was taken away, or under
 * an organisation that doesn't hold the key.
 */
class SessionAccessTest {
  private static final String DATABASE = "till";
  private final SessionFixture fixture = new SessionFixture(5);
  private final SessionFixture.Caller caller = fixture.caller(DATABASE, "k1");

  @BeforeEach
  void configure() {
    fixture.organisations(Map.of("k1", "acme"));
  }

  private boolean anyForward() {
    return fixture.databases.received.stream()
        .anyMatch(each -> each.command() instanceof DatabaseCommand.Forward);
  }

  @Test
  void anUnknownKeyRunsNothing() {
    var unknown = fixture.caller(DATABASE, "k2");
    assertEquals(AnswerCode.DENIED, unknown.write("1").code());
    assertEquals(AnswerCode.DENIED, unknown.begin().code());
    assertEquals(AnswerCode.DENIED, fixture.caller(DATABASE).read("1").code());
    assertTrue(fixture.databases.received.isEmpty());
  }

  @Test
  void aKeyThatWasTakenAwayRunsNothingMore() {
    assertEquals(AnswerCode.OK, caller.write("1").code());
    fixture.organisations(Map.of("k2", "acme"));
    fixture.databases.received.clear();
    assertEquals(AnswerCode.DENIED, caller.write("1").code());
    assertEquals(AnswerCode.DENIED, caller.begin().code());
    assertTrue(fixture.databases.received.isEmpty());
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "globex"})
  void aTransactionEndsWhenItsKeyIsTakenAwayOrMoved(String newHolder) {
    caller.begin();
    caller.write("1");
    fixture.organisations(newHolder.isEmpty() ? Map.of() : Map.of("k1", newHolder));
    caller.session.configurationChanged();
    fixture.time.advance(20);
    assertTrue(fixture.databases.commands("p").contains(new DatabaseCommand.Rollback()));
    fixture.databases.received.clear();
    Answer answer = caller.commit();
    assertEquals(AnswerCode.DENIED, answer.code());
    assertEquals(TransactionState.IDLE, answer.state());
    assertTrue(!anyForward());
  }

  /** Guards against a transaction that goes on under a key that was removed with its route. */
  @ParameterizedTest
  @ValueSource(strings = {"", "globex"})
  void aTransactionEndsWhenItsKeyIsTakenAwayWithItsRoute(String newHolder) {
    caller.begin();
    caller.write("1");
    fixture.organisations(newHolder.isEmpty() ? Map.of() : Map.of("k1", newHolder));
    route(null);
    caller.session.configurationChanged();
    fixture.time.advance(20);
    assertTrue(fixture.databases.commands("p").contains(new DatabaseCommand.Rollback()));
    fixture.databases.received.clear();
    Answer answer = caller.commit();
    assertEquals(AnswerCode.DENIED, answer.code());
    assertEquals(TransactionState.IDLE, answer.state());
    assertTrue(!anyForward());
  }

  /** Guards against rolling back transactions that only lost their route. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aTransactionGoesOnWithoutItsRouteWhileItsKeyIsHeldOrItNeedsNone(boolean isPublic) {
    var used = isPublic ? fixture.caller(DATABASE, "unknown") : caller;
    route(routeOf(isPublic));
    used.begin();
    used.write("1");
    route(null);
    used.session.configurationChanged();
    assertEquals(AnswerCode.OK, used.commit().code());
  }

  @Test
  void aPublicRouteNeedsNoKey() {
    route(routeOf(true));
    assertEquals(AnswerCode.OK, fixture.caller(DATABASE).write("1").code());
  }

  private static Route routeOf(boolean isPublic) {
    return new Route(
        DATABASE, DATABASE, SessionFixture.GROUP, RouteKind.PRIMARY, 0, 800, 150, 0, isPublic);
  }

  /** Applies a configuration with another route of the database, or without one. */
  private void route(@Nullable Route route) {
    RouteTable old = fixture.routes;
    Map<String, Route> routes = new HashMap<>(old.routes());
    if (route == null) {
      routes.remove(DATABASE);
    } else {
      routes.put(DATABASE, route);
    }
    fixture.routes =
        new RouteTable(
            old.version() + 1,
            routes,
            old.groups(),
            old.transactionIdleMillis(),
            old.organisations());
  }
}
