package org.pollenspar.core.process;

import java.util.Collection;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/** Asks several members the same question and counts the positive answers. */
final class MemberPoll {
  private MemberPoll() {}

  /**
   * Asks all members at once.
   *
   * @param members those asked, at least one
   * @param question asks one member; must call back exactly once
   * @param done receives the number of positive answers once all have answered
   */
  static void count(
      Collection<Member> members,
      BiConsumer<Member, Consumer<Boolean>> question,
      IntConsumer done) {
    count(members, question, (positive, remaining) -> remaining == 0, done);
  }

  /**
   * Asks all members at once whether a majority of them agrees. A member that is cut off answers
   * only after a timeout, so the poll ends as soon as the answers that lack can't change its
   * outcome.
   *
   * @param members those asked, at least one
   * @param question asks one member; must call back exactly once
   * @param done receives the number of positive answers so far; more than half of the members if
   *     the majority agrees
   */
  static void majority(
      Collection<Member> members,
      BiConsumer<Member, Consumer<Boolean>> question,
      IntConsumer done) {
    int asked = members.size();
    count(
        members,
        question,
        (positive, remaining) -> 2 * positive > asked || 2 * (positive + remaining) <= asked,
        done);
  }

  /** Tells from the number of positive answers, and of those that lack, whether a poll ends. */
  private interface Decision {
    boolean made(int positive, int remaining);
  }

  private static void count(
      Collection<Member> members,
      BiConsumer<Member, Consumer<Boolean>> question,
      Decision decision,
      IntConsumer done) {
    int[] remaining = {members.size()};
    int[] positive = {0};
    boolean[] ended = {false};
    for (Member member : members) {
      question.accept(
          member,
          answer -> {
            positive[0] += answer ? 1 : 0;
            remaining[0]--;
            if (!ended[0] && decision.made(positive[0], remaining[0])) {
              ended[0] = true;
              done.accept(positive[0]);
            }
          });
    }
  }
}
