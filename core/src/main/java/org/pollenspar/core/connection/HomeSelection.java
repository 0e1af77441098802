package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Avoidance;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.FleetMessages;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Regions;
import org.pollenspar.core.process.Rendezvous;
import org.pollenspar.core.process.Timers;

/**
 * Chooses the home host for each statement that this host forwards.
 *
 * <p>The statements of an organisation go to the homes in the order of {@link OrganisationHomes}.
 * For others, homes in the own failure domain come first, then those in the own region, then the
 * others; within each, the order is a hash of this host's name, so that the hosts of a domain use
 * all of its homes. A home that fails is avoided: one that was silent until it answers a ping, one
 * that takes no work or can't reach the databases of a group for a short time. If all are avoided,
 * the first is used all the same, since what is avoided may have recovered.
 *
 * <p>All methods run on one thread.
 */
public final class HomeSelection {
  /** Why a home is avoided. */
  public enum Obstacle {
    /** It didn't answer, and has answered no ping since. */
    SILENT,
    /** It declined a statement within the last second. */
    TAKES_NO_WORK,
    /** It couldn't reach the group's databases within the last second. */
    DATABASES_UNREACHABLE
  }

  /** Why a home is chosen. */
  public enum Reason {
    /** This host is the home, or every host is one. */
    THIS_HOST,
    /** It is the first home of the organisation. */
    FIRST_OF_ORGANISATION,
    /** It is the first home in this host's order and in its failure domain. */
    OWN_DOMAIN,
    /** It is the first home in this host's order and in its region; none is in its domain. */
    OWN_REGION,
    /** It is the first home in this host's order; none is nearer. */
    NONE_NEARER,
    /** Those before it are avoided, since they fail. */
    FAILING_AVOIDED,
    /** All homes are avoided; the first may have recovered. */
    ALL_AVOIDED
  }

  /**
   * A home of a group or of an organisation in it.
   *
   * @param obstacle why it is avoided; null if it isn't
   */
  public record Home(Member member, @Nullable Obstacle obstacle) {}

  /**
   * The home at which a statement would run.
   *
   * @param homes homes in the order of their use, without this host if the organisation has no
   *     homes of its own; empty if every host is a home
   * @param chosen null if there is no home
   * @param reason null if there is no home
   */
  public record Choice(List<Home> homes, @Nullable Member chosen, @Nullable Reason reason) {
    /** Returns whether the statement runs at the host that was asked. */
    public boolean here() {
      return reason == Reason.THIS_HOST;
    }
  }

  private static final long PING_INTERVAL_MS = 500;

  /** How long a home that takes no work, or can't reach the databases of a group, is avoided. */
  private static final long AVOIDANCE_MS = 1_000;

  private final Member self;
  private final Regions regions;
  private final FleetMessages messages;
  private final Timers timers;
  private final Map<String, List<Member>> homesByGroup = new HashMap<>();
  private final Map<String, OrganisationHomes> organisationsByGroup = new HashMap<>();

  /** Homes that were silent, with the incarnation that was. */
  private final Map<String, String> silent = new HashMap<>();

  private final Avoidance avoided;

  /** Creates a selection that knows no homes, for one region. */
  public HomeSelection(Member self, FleetMessages messages, Clocks clocks, Timers timers) {
    this(self, Regions.ONE, messages, clocks, timers);
  }

  /** Creates a selection that knows no homes. */
  public HomeSelection(
      Member self, Regions regions, FleetMessages messages, Clocks clocks, Timers timers) {
    this.regions = regions;
    this.self = self;
    this.messages = messages;
    this.avoided = new Avoidance(clocks, AVOIDANCE_MS);
    this.timers = timers;
  }

  /** Sets the homes of a group, where organisations have none of their own. */
  public void assign(String group, HomeAssignment assignment) {
    assign(group, assignment, OrganisationHomes.NONE);
  }

  /** Sets the homes of a group and of the organisations in it. */
  public void assign(String group, HomeAssignment assignment, OrganisationHomes organisations) {
    organisationsByGroup.put(group, organisations);
    List<Member> order = new ArrayList<>(assignment.homes());
    order.removeIf(home -> home.name().equals(self.name()));
    order.sort(
        Comparator.<Member, Regions.Distance>comparing(
                home -> regions.distance(self.domain(), home.domain()))
            .thenComparing(
                home -> Rendezvous.weight(self.name(), home.name()), Comparator.reverseOrder()));
    homesByGroup.put(group, List.copyOf(order));
  }

  /**
   * Returns whether statements of an organisation run on this host now, since it is the first home
   * of the organisation that isn't avoided.
   *
   * @param home whether this host is a home of the group, which runs statements of organisations
   *     without homes itself
   */
  boolean runsHere(String group, String organisation, boolean home) {
    @Nullable List<Member> order = ownOrder(group, organisation);
    if (order == null) {
      return home;
    }
    for (Member each : order) {
      if (each.name().equals(self.name())) {
        return true;
      }
      if (!avoided(group, each)) {
        return false;
      }
    }
    return false;
  }

  private @Nullable List<Member> ownOrder(String group, String organisation) {
    return organisationsByGroup.getOrDefault(group, OrganisationHomes.NONE).order(organisation);
  }

  /**
   * Returns the next home to try for a statement of an organisation; null if all were tried. This
   * host is never returned.
   */
  public @Nullable Member next(String group, String organisation, Set<Member> tried) {
    List<Member> homes = order(group, organisation);
    @Nullable Member fallback = null;
    for (Member home : homes) {
      if (tried.contains(home) || home.name().equals(self.name())) {
        continue;
      }
      if (!avoided(group, home)) {
        return home;
      }
      fallback = fallback == null ? home : fallback;
    }
    // A statement that was tried elsewhere isn't sent to a home that is known to fail.
    return tried.isEmpty() ? fallback : null;
  }

  private List<Member> order(String group, String organisation) {
    @Nullable List<Member> ownOrder = ownOrder(group, organisation);
    return ownOrder != null ? ownOrder : homesByGroup.getOrDefault(group, List.of());
  }

  /**
   * Returns where a statement of an organisation would run, and why. Changes nothing.
   *
   * @param home whether this host is a home of the group; see {@link #runsHere}
   */
  public Choice explain(String group, String organisation, boolean home) {
    List<Member> order = order(group, organisation);
    List<Home> homes = order.stream().map(each -> new Home(each, obstacle(group, each))).toList();
    if (runsHere(group, organisation, home)) {
      return new Choice(homes, self, Reason.THIS_HOST);
    }
    @Nullable Member next = next(group, organisation, Set.of());
    return new Choice(homes, next, next == null ? null : reason(group, organisation, next));
  }

  private Reason reason(String group, String organisation, Member chosen) {
    if (avoided(group, chosen)) {
      return Reason.ALL_AVOIDED;
    }
    if (!order(group, organisation).get(0).equals(chosen)) {
      return Reason.FAILING_AVOIDED;
    }
    if (ownOrder(group, organisation) != null) {
      return Reason.FIRST_OF_ORGANISATION;
    }
    return switch (regions.distance(self.domain(), chosen.domain())) {
      case SAME_DOMAIN -> Reason.OWN_DOMAIN;
      case SAME_REGION -> regions.several() ? Reason.OWN_REGION : Reason.NONE_NEARER;
      case OTHER_REGION -> Reason.NONE_NEARER;
    };
  }

  private boolean avoided(String group, Member home) {
    return obstacle(group, home) != null;
  }

  private @Nullable Obstacle obstacle(String group, Member home) {
    if (home.incarnation().equals(silent.get(home.name()))) {
      return Obstacle.SILENT;
    }
    if (avoided.contains(home.name())) {
      return Obstacle.TAKES_NO_WORK;
    }
    return avoided.contains(key(group, home)) ? Obstacle.DATABASES_UNREACHABLE : null;
  }

  private static String key(String group, Member home) {
    return home.name() + " " + group;
  }

  /** Records how a statement ended at a home. */
  public void record(String group, Member home, ForwardOutcome.Kind kind) {
    switch (kind) {
      case DECLINED -> avoided.add(home.name());
      case UNREACHABLE -> avoided.add(key(group, home));
      case NOT_SENT, LOST -> suspect(home);
      default -> {}
    }
  }

  private void suspect(Member home) {
    if (!home.incarnation().equals(silent.put(home.name(), home.incarnation()))) {
      timers.after(PING_INTERVAL_MS, () -> ping(home));
    }
  }

  private void ping(Member home) {
    boolean stillHome = homesByGroup.values().stream().anyMatch(homes -> homes.contains(home));
    if (!stillHome) {
      silent.remove(home.name(), home.incarnation());
      return;
    }
    messages.ping(
        home,
        answered -> {
          if (answered) {
            silent.remove(home.name(), home.incarnation());
          } else {
            timers.after(PING_INTERVAL_MS, () -> ping(home));
          }
        });
  }
}
