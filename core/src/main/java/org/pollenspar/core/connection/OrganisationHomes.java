package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Rendezvous;
import org.pollenspar.core.version.Organisation;

/**
 * The home of each organisation in one group.
 *
 * <p>A connection belongs to one organisation, so each home that an organisation uses needs
 * connections of its own. Therefore all statements of an organisation in a group run at one home.
 *
 * <p>The homes are assigned by rendezvous hashing with bounded loads: the organisations are taken
 * in descending order of their rates, and each is assigned to the first home in its rendezvous
 * order whose load is below an equal share of the sum. The load of an organisation is its part of
 * all rates plus its part of the number of organisations, as even one with a low rate occupies a
 * connection. With rendezvous hashing alone, some homes would have several of the largest
 * organisations. All hosts with the same members and configuration compute the same homes.
 *
 * @param orders homes in the order in which an organisation uses them, by its name; the first is
 *     its home, the others replace it while it fails
 */
public record OrganisationHomes(Map<String, List<Member>> orders) {
  /** No organisation has a home. */
  public static final OrganisationHomes NONE = new OrganisationHomes(Map.of());

  /** Creates a copy of the map. */
  public OrganisationHomes {
    orders = Map.copyOf(orders);
  }

  /** Assigns the homes of all organisations in a group. */
  public static OrganisationHomes of(
      String group, List<Member> homes, Collection<Organisation> organisations) {
    if (homes.isEmpty()) {
      return NONE;
    }
    double usualRate = meanRate(organisations);
    double sum = organisations.stream().mapToDouble(each -> rate(each, usualRate)).sum();
    List<Organisation> descending = new ArrayList<>(organisations);
    descending.sort(
        Comparator.<Organisation>comparingDouble(each -> -rate(each, usualRate))
            .thenComparing(Organisation::name));
    double share = 2.0 / homes.size();
    Map<String, Double> loads = new HashMap<>();
    Map<String, List<Member>> orders = new HashMap<>();
    for (Organisation organisation : descending) {
      List<Member> order = rendezvousOrder(group, organisation, homes);
      Member home = firstBelow(share, order, loads);
      double load = rate(organisation, usualRate) / sum + 1.0 / descending.size();
      loads.merge(home.name(), load, Double::sum);
      order.remove(home);
      order.add(0, home);
      orders.put(organisation.name(), List.copyOf(order));
    }
    return new OrganisationHomes(orders);
  }

  /** Returns the mean of the limited rates, which is assumed for organisations without a limit. */
  private static double meanRate(Collection<Organisation> organisations) {
    return organisations.stream()
        .mapToDouble(each -> rate(each, 0))
        .filter(rate -> rate > 0)
        .average()
        .orElse(1);
  }

  private static double rate(Organisation organisation, double unlimited) {
    Organisation.@Nullable RateLimit limit = organisation.limit();
    return limit == null ? unlimited : limit.perSecond();
  }

  private static List<Member> rendezvousOrder(
      String group, Organisation organisation, List<Member> homes) {
    String name = group + '\0' + organisation.name();
    List<Member> order = new ArrayList<>(homes);
    order.sort(
        Comparator.<Member>comparingLong(home -> -Rendezvous.weight(name, home.name()))
            .thenComparing(Member::name));
    return order;
  }

  /** Returns the first home below the share; the first of all if rounding leaves none. */
  private static Member firstBelow(double share, List<Member> order, Map<String, Double> loads) {
    return order.stream()
        .filter(home -> loads.getOrDefault(home.name(), 0.0) < share)
        .findFirst()
        .orElse(order.get(0));
  }

  /** Returns the homes of an organisation in the order of their use; null if it is unknown. */
  public @Nullable List<Member> order(String organisation) {
    return orders.get(organisation);
  }

  /** Returns the number of organisations whose home is a host. */
  public int organisationsAt(String host) {
    return (int) orders.values().stream().filter(order -> order.get(0).name().equals(host)).count();
  }
}
