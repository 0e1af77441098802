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
    int[] remaining = {members.size()};
    int[] positive = {0};
    for (Member member : members) {
      question.accept(
          member,
          answer -> {
            positive[0] += answer ? 1 : 0;
            remaining[0]--;
            if (remaining[0] == 0) {
              done.accept(positive[0]);
            }
          });
    }
  }
}
