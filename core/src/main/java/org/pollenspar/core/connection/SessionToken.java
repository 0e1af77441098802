package org.pollenspar.core.connection;

import java.util.Map;
import java.util.TreeMap;

/**
 * What a session must see: per group the position of its last acknowledged write. The caller
 * carries it, so a session may use any proxy and no proxy stores sessions.
 *
 * @param sessionId random name of the session
 * @param positions position per group
 */
public record SessionToken(String sessionId, Map<String, Position> positions) {

  /** Copies the map. */
  public SessionToken {
    positions = Map.copyOf(positions);
  }

  /** Returns the position that reads of a group must include. */
  public Position position(String group) {
    return positions.getOrDefault(group, Position.ZERO);
  }

  /** Returns a token that also includes a position of a group. */
  public SessionToken advanced(String group, Position position) {
    Map<String, Position> merged = new TreeMap<>(positions);
    merged.merge(group, position, Position::max);
    return new SessionToken(sessionId, merged);
  }

  /** Returns a token that includes both; the session id is this one's. */
  public SessionToken merged(SessionToken other) {
    SessionToken result = this;
    for (Map.Entry<String, Position> entry : other.positions.entrySet()) {
      result = result.advanced(entry.getKey(), entry.getValue());
    }
    return result;
  }
}
