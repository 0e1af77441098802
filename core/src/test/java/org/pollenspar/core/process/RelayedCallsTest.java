package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against calls that fail because the first member used is refused by the store as well. */
class RelayedCallsTest {
  private final FakeTime time = new FakeTime();
  private final RelayedCalls calls = new RelayedCalls("self", "a", time);
  private final List<Member> members = new ArrayList<>();
  private final Set<String> refused = new HashSet<>();
  private final Set<String> silent = new HashSet<>();
  private final List<String> used = new ArrayList<>();
  private long silenceMillis;

  RelayedCallsTest() {
    for (String name : List.of("self", "m1", "m2", "m3", "m4", "m5", "m6")) {
      String domain = name.compareTo("m4") < 0 ? "a" : "b";
      members.add(new Member(name, "10.0.0.1:1", "1", domain, 500, false));
    }
  }

  private RelayedCalls.Outcome call(boolean idempotent) {
    List<RelayedCalls.Outcome> results = new ArrayList<>();
    calls.<RelayedCalls.Outcome>call(
        members,
        idempotent,
        1_200,
        (member, done) -> {
          used.add(member.name());
          if (silent.contains(member.name())) {
            time.advance(silenceMillis);
            done.accept(RelayedCalls.Outcome.UNKNOWN);
          } else {
            done.accept(
                refused.contains(member.name())
                    ? RelayedCalls.Outcome.NOT_EXECUTED
                    : RelayedCalls.Outcome.ANSWERED);
          }
        },
        outcome -> outcome,
        RelayedCalls.Outcome.NOT_EXECUTED,
        results::add);
    assertEquals(1, results.size(), "results of one call");
    return results.get(0);
  }

  private String firstUsed() {
    call(true);
    String first = used.get(0);
    used.clear();
    return first;
  }

  @Test
  void aCallThatWasNotExecutedIsRepeatedThroughAnotherMember() {
    refused.add(firstUsed());
    assertEquals(RelayedCalls.Outcome.ANSWERED, call(false));
    assertEquals(2, used.size());
  }

  @Test
  void laterCallsUseTheMemberThatWasServed() {
    refused.add(firstUsed());
    call(false);
    String served = used.get(1);
    used.clear();
    call(false);
    call(false);
    assertEquals(List.of(served, served), used);
  }

  @Test
  void aCallThatMayHaveBeenExecutedIsRepeatedOnlyIfIdempotent() {
    silent.add(firstUsed());
    assertEquals(RelayedCalls.Outcome.UNKNOWN, call(false));
    assertEquals(1, used.size());
    assertEquals(RelayedCalls.Outcome.ANSWERED, call(true));
  }

  @Test
  void noMoreThanFourMembersAreUsedAndNoneTwice() {
    members.forEach(each -> refused.add(each.name()));
    assertEquals(RelayedCalls.Outcome.NOT_EXECUTED, call(true));
    assertEquals(4, used.size());
    assertEquals(4, new HashSet<>(used).size());
  }

  @Test
  void aCallIsNotRepeatedAfterItsTimeLimit() {
    members.forEach(each -> silent.add(each.name()));
    silenceMillis = 700;
    assertEquals(RelayedCalls.Outcome.UNKNOWN, call(true));
    assertEquals(2, used.size());
  }

  @Test
  void membersOfTheOwnFailureDomainAreUsedFirst() {
    refused.addAll(Set.of("m1", "m2"));
    call(true);
    assertEquals("m3", used.get(used.size() - 1));
  }

  @Test
  void aMemberThatWasRefusedIsUsedAgainLater() {
    refused.addAll(Set.of("m1", "m2", "m3", "m4", "m5", "m6"));
    call(true);
    time.advance(1_600);
    refused.clear();
    used.clear();
    assertEquals(RelayedCalls.Outcome.ANSWERED, call(true));
    assertEquals(1, used.size());
  }

  @Test
  void withoutOtherMembersTheCallIsNotSent() {
    members.subList(1, members.size()).clear();
    assertEquals(RelayedCalls.Outcome.NOT_EXECUTED, call(true));
    assertEquals(List.of(), used);
  }
}
