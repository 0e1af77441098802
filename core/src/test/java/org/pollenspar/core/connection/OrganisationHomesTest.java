package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.version.Organisation;
import org.pollenspar.core.version.Organisations;

/**
 * Guards against homes that get most of the load or of the organisations, hosts that choose
 * different homes from the same knowledge, and statements that are not served while the home of
 * their organisation fails.
 */
class OrganisationHomesTest {
  private static final String GROUP = ForwardingFixture.GROUP;

  private static List<Member> homes(int count) {
    List<Member> homes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      homes.add(new Member("h" + i, "h" + i, "1", "d" + i % 3, 1_000, false));
    }
    return homes;
  }

  /** Returns organisations of which the n-th has a rate of 1/n of the first; some have no limit. */
  private static List<Organisation> organisations(int count) {
    List<Organisation> all = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      Organisation.RateLimit limit = new Organisation.RateLimit(300.0 / i, 10);
      all.add(new Organisation("org" + i, i % 10 == 0 ? null : limit));
    }
    return all;
  }

  /** Rows of: homes, organisations, most organisations that one home may have. */
  @Test
  void organisationsAreSpreadOverTheHomes() {
    for (int[] row : new int[][] {{12, 87, 12}, {6, 60, 16}, {2, 5, 4}, {12, 3, 1}, {1, 9, 9}}) {
      for (int group = 0; group < 50; group++) {
        OrganisationHomes assigned =
            OrganisationHomes.of("g" + group, homes(row[0]), organisations(row[1]));
        assertEquals(row[1], assigned.orders().size());
        int sum = 0;
        for (Member home : homes(row[0])) {
          int here = assigned.organisationsAt(home.name());
          assertTrue(here <= row[2], here + " organisations at one of " + row[0] + " homes");
          sum += here;
        }
        assertEquals(row[1], sum);
        assigned.orders().values().forEach(order -> assertEquals(row[0], order.size()));
      }
    }
  }

  @Test
  void theOrderOfMembersAndOrganisationsDoesNotMatter() {
    List<Member> homes = new ArrayList<>(homes(12));
    List<Organisation> organisations = new ArrayList<>(organisations(87));
    OrganisationHomes expected = OrganisationHomes.of("g", homes, organisations);
    Collections.reverse(homes);
    Collections.reverse(organisations);
    assertEquals(expected, OrganisationHomes.of("g", homes, organisations));
  }

  @Test
  void oneHomeThatLeavesMovesFewOtherOrganisations() {
    List<Organisation> organisations = organisations(87);
    int moved = 0;
    for (int group = 0; group < 50; group++) {
      OrganisationHomes before = OrganisationHomes.of("g" + group, homes(12), organisations);
      OrganisationHomes after = OrganisationHomes.of("g" + group, homes(11), organisations);
      for (Organisation each : organisations) {
        String old = before.orders().get(each.name()).get(0).name();
        String now = after.orders().get(each.name()).get(0).name();
        moved += old.equals("h11") || old.equals(now) ? 0 : 1;
      }
    }
    // Hashing to the home by a modulus would move eleven of twelve.
    assertTrue(moved < 50 * 87 / 3, moved + " moved");
  }

  @Test
  void withOrganisationsAFewHostsAreHomesAlready() {
    assertTrue(HomeAssignment.of("g", 39, 3, homes(6)).everyHost());
    HomeAssignment assignment = HomeAssignment.of("g", 39, 3, homes(6), true);
    assertFalse(assignment.everyHost());
    assertEquals(6, assignment.homes().size());
    assertTrue(HomeAssignment.of("g", 39, 3, homes(1), true).everyHost());
  }

  /** Hosts "h0" to "h2" are homes, "entry" is none; the key of each organisation is its name. */
  private static final class Deployment {
    final List<Organisation> organisations = organisations(9);
    final ForwardingFixture fixture;
    final OrganisationHomes homes;
    ScriptedDatabases databases;

    Deployment() {
      Map<String, Organisation> byName = new HashMap<>();
      Map<String, String> keys = new HashMap<>();
      for (Organisation each : organisations) {
        byName.put(each.name(), each);
        keys.put(each.name(), each.name());
      }
      fixture =
          new ForwardingFixture(
              time -> {
                databases = new ScriptedDatabases(time, 5);
                return databases;
              },
              List.of(SessionFixture.entry("p", "a", true)),
              ForwardingFixture.routesOfEachKind(),
              new Organisations(byName, keys));
      databases.positions.put("p", new Position(1, 100));
      for (int i = 0; i < 3; i++) {
        fixture.add("h" + i, "d" + i);
      }
      HomeAssignment assignment = new HomeAssignment(fixture.members(), 3);
      fixture.add("entry", "d0");
      homes = OrganisationHomes.of(GROUP, assignment.homes(), organisations);
      fixture.hosts.values().forEach(host -> host.assign(assignment, homes));
    }

    ForwardingFixture.HostUnderTest home(String organisation, int index) {
      return fixture.hosts.get(homes.orders().get(organisation).get(index).name());
    }

    AnswerCode write(String host, String organisation) {
      ForwardingFixture.HostUnderTest at = fixture.hosts.get(host);
      at.confirm();
      return at.caller("till", organisation).write("1").code();
    }
  }

  @Test
  void eachOrganisationUsesConnectionsOfItsHomeOnly() {
    Deployment deployment = new Deployment();
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 200; i++) {
      String organisation = "org" + (1 + random.nextInt(9));
      String host = List.of("h0", "h1", "h2", "entry").get(random.nextInt(4));
      deployment.fixture.hosts.values().forEach(ForwardingFixture.HostUnderTest::confirm);
      assertEquals(AnswerCode.OK, deployment.write(host, organisation));
      int last =
          deployment.databases.received.get(deployment.databases.received.size() - 1).connection();
      assertEquals(organisation, deployment.databases.connections.get(last).organisation);
    }
    for (Organisation each : deployment.organisations) {
      assertTrue(deployment.home(each.name(), 0).router.counts().opened() > 0);
    }
    long homes = deployment.homes.orders().values().stream().map(o -> o.get(0)).distinct().count();
    assertTrue(homes > 1);
    assertEquals(0, deployment.fixture.hosts.get("entry").router.counts().opened());
  }

  @Test
  void theNextHomeServesWhileTheHomeOfAnOrganisationFails() {
    Deployment deployment = new Deployment();
    ForwardingFixture.HostUnderTest home = deployment.home("org1", 0);
    ForwardingFixture.HostUnderTest next = deployment.home("org1", 1);
    home.accepting = false;
    deployment.fixture.hosts.values().forEach(ForwardingFixture.HostUnderTest::confirm);
    assertEquals(AnswerCode.OK, deployment.write("entry", "org1"));
    assertEquals(0, home.router.pool("p").connections());
    assertEquals(1, next.router.pool("p").connections());
    // The next home tries the home once and then runs the statements of its own callers itself.
    deployment.write(next.self.name(), "org1");
    assertEquals(AnswerCode.OK, deployment.write(next.self.name(), "org1"));
    assertEquals(1, next.router.pool("p").connections());
  }

  @Test
  void statementsWithoutOrganisationRunAtAnyHome() {
    Deployment deployment = new Deployment();
    HomeSelection selection = deployment.fixture.hosts.get("h0").selection;
    assertTrue(selection.runsHere(GROUP, "", true));
    assertFalse(selection.runsHere(GROUP, "", false));
  }
}
