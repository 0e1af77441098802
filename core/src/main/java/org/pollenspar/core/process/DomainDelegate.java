package org.pollenspar.core.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the member of this host's failure domain that does a task for all members of the domain,
 * by {@link Rendezvous} hashing. Hosts with the same member list choose the same one.
 */
final class DomainDelegate {
  private final FleetTable table;
  private final Member self;
  private final int minMembers;
  private final String task;

  /**
   * Creates a choice.
   *
   * @param minMembers members of a failure domain from which on one of them acts for all
   * @param task name that is hashed, so that different tasks fall to different members
   */
  DomainDelegate(FleetTable table, Member self, int minMembers, String task) {
    this.table = table;
    this.self = self;
    this.minMembers = minMembers;
    this.task = task;
  }

  /** Returns whether the domain has enough members for one of them to act for all. */
  boolean shared() {
    return table.members().stream().filter(this::inDomain).count() >= minMembers;
  }

  /**
   * Returns the chosen member; null if each host acts for itself.
   *
   * @param avoided names that aren't chosen, besides those of suspended members
   */
  @Nullable Member choose(Predicate<String> avoided) {
    if (!shared()) {
      return null;
    }
    Map<String, Member> candidates = new HashMap<>();
    for (Member member : table.members()) {
      if (inDomain(member) && !member.suspended() && !avoided.test(member.name())) {
        candidates.put(member.name(), member);
      }
    }
    @Nullable String name =
        Rendezvous.first(task + " of " + self.domain(), List.copyOf(candidates.keySet()));
    return name == null ? null : candidates.get(name);
  }

  private boolean inDomain(Member member) {
    return member.domain().equals(self.domain());
  }
}
