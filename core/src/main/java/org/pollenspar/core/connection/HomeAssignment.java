package org.pollenspar.core.connection;

import java.util.Collection;
import java.util.List;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Rendezvous;

/**
 * The home hosts of a group, which hold the connections to its databases. All other hosts forward
 * the group's statements to a home.
 *
 * <p>While every host can have {@link #MIN_CONNECTIONS} connections to each database, every host is
 * a home and nothing is forwarded. With more hosts, there are as many homes as can have {@link
 * #CONNECTIONS_PER_SLOT} connections for each statement that a database runs at once: enough that
 * one home can use a database fully although some of its connections wait for the callers of open
 * transactions. The homes are chosen by {@link Rendezvous} hashing, first one in each failure
 * domain, so that forwarding seldom leaves a domain and few homes change when members come and go.
 *
 * <p>If connections belong to organisations, two connections don't suffice for a host that serves
 * callers of many organisations. The group then has homes as soon as two hosts can be homes, and
 * {@link OrganisationHomes} assigns the organisations to them.
 *
 * <p>Invariant: as long as all hosts know the same members, the connections of all homes to one
 * database are at most the limit that was divided, unless that limit is below the number of homes,
 * which is then one.
 *
 * @param homes the home hosts; empty if every host is a home
 * @param connections connections that each home may hold to each database of the group
 */
public record HomeAssignment(List<Member> homes, int connections) {
  /** Connections with which a host serves a group by itself: one for a transaction, one for all. */
  private static final int MIN_CONNECTIONS = 2;

  private static final double CONNECTIONS_PER_SLOT = 1.5;

  /** Assigns the homes of a group in a deployment without organisations. */
  public static HomeAssignment of(
      String group, int maxConnections, int slots, Collection<Member> members) {
    return of(group, maxConnections, slots, members, false);
  }

  /**
   * Assigns the homes of a group.
   *
   * @param maxConnections connections to each database that the homes divide
   * @param slots statements that a database runs at once
   * @param members members of the fleet, this host included; suspended ones don't become homes
   * @param organisations whether connections belong to organisations
   */
  public static HomeAssignment of(
      String group,
      int maxConnections,
      int slots,
      Collection<Member> members,
      boolean organisations) {
    List<Member> candidates = members.stream().filter(member -> !member.suspended()).toList();
    // A host that knows no other yet must not take all connections.
    int equalShare = maxConnections / Math.max(2, members.size());
    boolean enoughForEach = equalShare >= MIN_CONNECTIONS && !organisations;
    if (enoughForEach || candidates.size() < 2) {
      return new HomeAssignment(List.of(), Math.max(1, equalShare));
    }
    int homeShare = (int) Math.ceil(CONNECTIONS_PER_SLOT * Math.max(1, slots));
    int count = Math.max(1, Math.min(candidates.size(), maxConnections / homeShare));
    List<Member> homes =
        Rendezvous.select(
            group, candidates, count, Member::name, Member::domain, Member::processorPermille);
    return new HomeAssignment(homes, new ConnectionShare(maxConnections, 0, count).share());
  }

  /** Returns whether every host is a home. */
  public boolean everyHost() {
    return homes.isEmpty();
  }

  /** Returns whether a host is a home. */
  public boolean includes(String host) {
    return everyHost() || homes.stream().anyMatch(home -> home.name().equals(host));
  }
}
