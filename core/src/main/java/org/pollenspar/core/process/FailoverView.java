package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenspar.core.process.FailoverPolicy.HomeProxy;
import org.pollenspar.core.process.FailoverPolicy.ReportedDatabase;

/**
 * What the home proxies of a group report about its databases, and whether that makes the primary
 * suspect.
 *
 * <p>Invariant: a primary is suspected only by homes in two failure domains (by all homes if there
 * is one domain) that reach another database of the group, and only if no home reports a recent
 * success. One vantage point fails here: it cannot tell a dead primary from its own broken link.
 */
final class FailoverView {
  /** Without a success for this time a home votes against the primary. */
  static final long SUSPICION_MILLIS = 800;

  /** Older reports are not used; agents of higher order poll once a second. */
  private static final long REPORT_VALID_NANOS = 1_500_000_000L;

  /** A primary that has not answered for this time makes all agents poll at the short interval. */
  private static final long ALERT_MILLIS = 400;

  /** The value of {@link ReportedDatabase#probeAgeMillis} if no probe was answered yet. */
  static final long NEVER = 0xffff_ffffL;

  private final Map<String, HomeReport> reports = new HashMap<>();
  private final Map<String, Long> firstReportNanos = new HashMap<>();
  private List<HomeProxy> homes = List.of();

  private record HomeReport(long receivedNanos, List<ReportedDatabase> databases) {

    Optional<ReportedDatabase> database(String id) {
      return databases.stream().filter(d -> d.id().equals(id)).findFirst();
    }

    boolean reachesOtherThan(String id) {
      return databases.stream().anyMatch(d -> d.recent() && !d.id().equals(id));
    }
  }

  void homes(List<HomeProxy> current) {
    homes = List.copyOf(current);
    Set<String> ids = new HashSet<>();
    homes.forEach(home -> ids.add(home.id()));
    reports.keySet().retainAll(ids);
    firstReportNanos.keySet().retainAll(ids);
  }

  void report(String homeId, List<ReportedDatabase> databases, long nowNanos) {
    if (homes.stream().anyMatch(home -> home.id().equals(homeId))) {
      reports.put(homeId, new HomeReport(nowNanos, List.copyOf(databases)));
      firstReportNanos.putIfAbsent(homeId, nowNanos);
    }
  }

  /** Returns the leading database of the highest term in valid reports. */
  Optional<ReportedDatabase> primary(long nowNanos) {
    return valid(nowNanos).stream()
        .flatMap(home -> reportOf(home).databases().stream())
        .filter(ReportedDatabase::leads)
        .max(
            Comparator.comparingLong(ReportedDatabase::logTerm)
                .thenComparing(
                    Comparator.comparingLong(ReportedDatabase::probeAgeMillis).reversed()));
  }

  /** Returns the highest term that any report shows. */
  long highestTerm() {
    return reports.values().stream()
        .flatMap(report -> report.databases().stream())
        .mapToLong(database -> Math.max(database.fencedTerm(), database.logTerm()))
        .max()
        .orElse(0);
  }

  /** Returns whether enough homes see the primary as gone. */
  boolean suspects(String primaryId, long nowNanos) {
    List<HomeProxy> votes = new ArrayList<>();
    for (HomeProxy home : valid(nowNanos)) {
      Optional<ReportedDatabase> seen = reportOf(home).database(primaryId);
      if (seen.isPresent() && seen.get().recent()) {
        return false;
      }
      if (seen.isPresent() && votes(home, seen.get(), nowNanos)) {
        votes.add(home);
      }
    }
    return enough(votes);
  }

  /** Returns whether enough homes reach databases of the group, but none that leads. */
  boolean leaderless(long nowNanos) {
    List<HomeProxy> witnesses =
        valid(nowNanos).stream().filter(home -> reportOf(home).reachesOtherThan("")).toList();
    return primary(nowNanos).isEmpty() && enough(witnesses);
  }

  /**
   * Returns whether a database is fenced above the primary's term. It follows the primary no more,
   * and if a majority is, no write can be acknowledged although the primary answers. An agent that
   * died between fence and promotion leaves this behind when its fence did not reach the primary.
   */
  boolean superseded(long nowNanos) {
    Optional<ReportedDatabase> primary = primary(nowNanos);
    return primary.isPresent()
        && valid(nowNanos).stream()
            .flatMap(home -> reportOf(home).databases().stream())
            .anyMatch(d -> d.recent() && d.fencedTerm() > primary.get().logTerm());
  }

  /** Returns whether a home that has just started, or reaches nothing, is kept from voting. */
  private boolean votes(HomeProxy home, ReportedDatabase seen, long nowNanos) {
    long knownMillis = (nowNanos - firstReportNanos.getOrDefault(home.id(), nowNanos)) / 1_000_000;
    boolean tried = seen.probeAgeMillis() != NEVER || knownMillis >= SUSPICION_MILLIS;
    return tried && reportOf(home).reachesOtherThan(seen.id());
  }

  private boolean enough(List<HomeProxy> votes) {
    long domains = homes.stream().map(HomeProxy::domain).distinct().count();
    return domains >= 2
        ? votes.stream().map(HomeProxy::domain).distinct().count() >= 2
        : !votes.isEmpty() && votes.size() == homes.size();
  }

  /** Returns whether any home has missed the primary for a while, so that polling must be fast. */
  boolean alert(long nowNanos) {
    Optional<ReportedDatabase> primary = primary(nowNanos);
    return primary.isEmpty()
        || superseded(nowNanos)
        || valid(nowNanos).stream()
            .flatMap(home -> reportOf(home).database(primary.get().id()).stream())
            .anyMatch(database -> database.probeAgeMillis() >= ALERT_MILLIS);
  }

  private List<HomeProxy> valid(long nowNanos) {
    return homes.stream()
        .filter(home -> reports.containsKey(home.id()))
        .filter(home -> nowNanos - reportOf(home).receivedNanos() <= REPORT_VALID_NANOS)
        .toList();
  }

  private HomeReport reportOf(HomeProxy home) {
    return reports.getOrDefault(home.id(), new HomeReport(0, List.of()));
  }
}
