package org.pollenspar.core.connection;

import java.util.Map;
import java.util.TreeMap;

/**
 * Consistency state of a session: for each group, the position of its last acknowledged write,
 * which reads of the session must include. The caller sends it with each request, so a session may
 * use any proxy and no proxy stores sessions.
 *
 * @param sessionId random identifier of the session
 * @param positions position by group
 */
public record SessionToken(String sessionId, Map<String, Position> positions) {

  public SessionToken {
    positions = Map.copyOf(positions);
  }

  /** Returns the position that reads of a group must include. */
  public Position position(String group) {
    return positions.getOrDefault(group, Position.ZERO);
  }

  /** Returns a token that also includes this position of a group. */
  public SessionToken advanced(String group, Position position) {
    Map<String, Position> merged = new TreeMap<>(positions);
    merged.merge(group, position, Position::max);
    return new SessionToken(sessionId, merged);
  }

  /** Returns a token that includes the positions of both, with the session id of this one. */
  public SessionToken merged(SessionToken other) {
    SessionToken result = this;
    for (Map.Entry<String, Position> entry : other.positions.entrySet()) {
      result = result.advanced(entry.getKey(), entry.getValue());
    }
    return result;
  }
}
