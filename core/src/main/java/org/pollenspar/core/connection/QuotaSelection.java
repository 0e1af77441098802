package org.pollenspar.core.connection;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Rendezvous;

/**
 * Chooses the two coordinators of each organisation by rendezvous hashing, in two failure domains
 * if there are as many, so that the loss of one domain leaves one of them.
 *
 * <p>All hosts with the same list of members choose alike without messages.
 */
public final class QuotaSelection {
  private static final int COORDINATORS = 2;

  /**
   * The coordinators of an organisation.
   *
   * @param first null if there is no member
   * @param second null if there are fewer than two members
   * @param suspendedBefore how many of the two would be suspended members if those were chosen too;
   *     such a member may be cut off and still grant operations, until it is removed
   */
  record Coordinators(@Nullable Member first, @Nullable Member second, int suspendedBefore) {}

  private final Supplier<Collection<Member>> members;
  private final Map<String, Coordinators> known = new HashMap<>();

  /** Creates a selection among members. */
  public QuotaSelection(Supplier<Collection<Member>> members) {
    this.members = members;
  }

  /** Discards all choices, because the members changed. */
  void membersChanged() {
    known.clear();
  }

  /** Returns the member of a name, active or suspended; null if there is none. */
  @Nullable Member member(String name) {
    for (Member each : members.get()) {
      if (each.name().equals(name)) {
        return each;
      }
    }
    return null;
  }

  int memberCount() {
    return Math.max(1, members.get().size());
  }

  /** Returns the coordinators of an organisation, the first one first; at most two. */
  public List<Member> coordinators(String organisation) {
    Coordinators chosen = of(organisation);
    return Stream.of(chosen.first(), chosen.second()).flatMap(Stream::ofNullable).toList();
  }

  Coordinators of(String organisation) {
    return known.computeIfAbsent(organisation, this::choose);
  }

  private Coordinators choose(String organisation) {
    Collection<Member> all = members.get();
    List<Member> active = all.stream().filter(member -> !member.suspended()).toList();
    List<Member> chosen = select(organisation, active);
    int suspended =
        active.size() == all.size()
            ? 0
            : (int) select(organisation, all).stream().filter(Member::suspended).count();
    return new Coordinators(
        chosen.isEmpty() ? null : chosen.get(0),
        chosen.size() < COORDINATORS ? null : chosen.get(1),
        suspended);
  }

  private static List<Member> select(String organisation, Collection<Member> candidates) {
    return Rendezvous.select(
        organisation,
        candidates,
        COORDINATORS,
        Member::name,
        Member::domain,
        Member::processorPermille);
  }
}
