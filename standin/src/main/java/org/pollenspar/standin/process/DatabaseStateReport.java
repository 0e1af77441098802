package org.pollenspar.standin.process;

import com.fasterxml.jackson.databind.JsonNode;
import org.pollenspar.core.connection.Position;

/**
 * The state that a database reported to the platform.
 *
 * @param database the database asked
 * @param reachable whether it replied; if not, the other fields are 0
 * @param fencedTerm the database refuses terms below this one
 * @param position position of its last log entry
 */
record DatabaseStateReport(
    Topology.GroupDatabase database, boolean reachable, long fencedTerm, Position position) {

  static DatabaseStateReport unreachable(Topology.GroupDatabase database) {
    return new DatabaseStateReport(database, false, 0, Position.ZERO);
  }

  static DatabaseStateReport of(Topology.GroupDatabase database, JsonNode state) {
    return new DatabaseStateReport(
        database,
        true,
        state.path("fenced_term").asLong(),
        new Position(state.path("log_term").asLong(), state.path("offset").asLong()));
  }
}
