package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Guards against a failover that waits for members that are cut off, and against early outcomes.
 */
class MemberPollTest {
  private final List<Consumer<Boolean>> questions = new ArrayList<>();
  private final List<Integer> outcomes = new ArrayList<>();

  private static List<Member> members(int count) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new Member("m" + i, "10.0.0.1:1", "1", "a", 500, false));
    }
    return members;
  }

  private void askForMajority(int count) {
    MemberPoll.majority(members(count), (member, answer) -> questions.add(answer), outcomes::add);
  }

  private void answer(boolean... answers) {
    for (boolean each : answers) {
      questions.remove(0).accept(each);
    }
  }

  @Test
  void endsWhenTheMajorityDisagrees() {
    askForMajority(5);
    answer(false, true, false);
    assertEquals(List.of(), outcomes);
    answer(false);
    assertEquals(List.of(1), outcomes);
  }

  @Test
  void endsWhenTheMajorityAgreesAndOnlyOnce() {
    askForMajority(4);
    answer(true, true);
    assertEquals(List.of(), outcomes);
    answer(true);
    assertEquals(List.of(3), outcomes);
    answer(true);
    assertEquals(List.of(3), outcomes);
  }

  @Test
  void halfOfTheMembersIsNoMajority() {
    askForMajority(4);
    answer(true, false, false);
    assertEquals(List.of(1), outcomes);
  }

  @Test
  void aCountWaitsForAllAnswers() {
    MemberPoll.count(members(3), (member, answer) -> questions.add(answer), outcomes::add);
    answer(true, true);
    assertEquals(List.of(), outcomes);
    answer(false);
    assertEquals(List.of(2), outcomes);
  }
}
