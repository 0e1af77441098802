package org.pollenspar.standin.process;

import com.fasterxml.jackson.databind.JsonNode;
import org.pollenspar.core.connection.Position;

/**
 * What a database told the platform.
 *
 * @param member database
 * @param reachable whether it answered; the other fields are 0 otherwise
 * @param fencedTerm terms below it are refused
 * @param position last log entry
 */
record DatabaseStateReport(
    Topology.GroupDatabase member, boolean reachable, long fencedTerm, Position position) {

  static DatabaseStateReport unreachable(Topology.GroupDatabase member) {
    return new DatabaseStateReport(member, false, 0, Position.ZERO);
  }

  static DatabaseStateReport of(Topology.GroupDatabase member, JsonNode state) {
    return new DatabaseStateReport(
        member,
        true,
        state.path("fenced_term").asLong(),
        new Position(state.path("log_term").asLong(), state.path("offset").asLong()));
  }
}
