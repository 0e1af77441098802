package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Regions;
import org.pollenspar.core.process.Rendezvous;

/**
 * Gives each region a home of a group, if there are as many homes as regions.
 *
 * <p>{@link HomeAssignment} takes the homes from distinct failure domains. With fewer homes than
 * domains, all of them can be in one region, and each read of another region would then cross
 * between the regions although it has a replica of its own. A region without a home gets its best
 * host in place of the last home of a region with several, so the number of homes and their
 * connections don't change.
 */
public final class RegionHomes {
  private RegionHomes() {}

  /**
   * Returns the assignment with a home in each region; unchanged with one region.
   *
   * @param members members of the fleet; suspended ones don't become homes
   */
  public static HomeAssignment inEachRegion(
      HomeAssignment assignment, String group, Collection<Member> members, Regions regions) {
    if (assignment.everyHost() || !regions.several()) {
      return assignment;
    }
    List<Member> homes = new ArrayList<>(assignment.homes());
    List<Member> candidates = members.stream().filter(member -> !member.suspended()).toList();
    Set<String> withoutHome = new TreeSet<>();
    candidates.forEach(member -> withoutHome.add(regions.region(member.domain())));
    homes.forEach(home -> withoutHome.remove(regions.region(home.domain())));
    for (String region : withoutHome) {
      @Nullable Member replaced = lastOfSeveral(homes, regions);
      if (replaced == null) {
        break;
      }
      homes.remove(replaced);
      homes.addAll(
          Rendezvous.select(
              group,
              candidates.stream()
                  .filter(member -> regions.region(member.domain()).equals(region))
                  .toList(),
              1,
              Member::name,
              Member::domain,
              Member::processorPermille));
    }
    return new HomeAssignment(List.copyOf(homes), assignment.connections());
  }

  private static @Nullable Member lastOfSeveral(List<Member> homes, Regions regions) {
    var homesByRegion =
        homes.stream()
            .collect(
                Collectors.groupingBy(
                    home -> regions.region(home.domain()), Collectors.counting()));
    for (int i = homes.size() - 1; i >= 0; i--) {
      if (homesByRegion.getOrDefault(regions.region(homes.get(i).domain()), 0L) > 1) {
        return homes.get(i);
      }
    }
    return null;
  }
}
