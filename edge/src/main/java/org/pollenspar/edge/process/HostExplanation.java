package org.pollenspar.edge.process;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.GroupExplanation;
import org.pollenspar.core.connection.HomeSelection;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.PrimaryAuthority;
import org.pollenspar.core.process.PrimaryRecord;
import org.pollenspar.core.request.Refusal;
import org.pollenspar.core.version.Organisation;
import org.pollenspar.core.version.Route;

/**
 * Where a statement would go now, and why, as one host sees it.
 *
 * @param host the host that was asked
 * @param ready whether it is ready for callers
 * @param version version of its configuration; -1 before the first
 * @param route route of the database name; null if there is none
 * @param organisation organisation for which the statement would run; null for none
 * @param coordinators hosts that coordinate its rate, the first one first; empty without a limit
 * @param primaryUse whether this host may use the group's primary; null without a route
 * @param primary the recorded primary of the group; null if none is known
 * @param confirmedMillis for how long this host may use primaries if nothing is renewed; 0 if it
 *     may not
 * @param home home host at which the statement would run; null without a route
 * @param group the databases, if this host is the home; null otherwise
 * @param refusals answers that a caller would get instead of a database's, in the order of the
 *     checks; a caller gets the first. Empty if the statement would be sent
 */
public record HostExplanation(
    Member host,
    boolean ready,
    long version,
    @Nullable Route route,
    @Nullable Organisation organisation,
    List<Member> coordinators,
    PrimaryAuthority.@Nullable Use primaryUse,
    @Nullable PrimaryRecord primary,
    long confirmedMillis,
    HomeSelection.@Nullable Choice home,
    @Nullable GroupExplanation group,
    List<Refusal> refusals) {}
