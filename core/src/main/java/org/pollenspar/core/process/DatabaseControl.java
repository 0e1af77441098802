package org.pollenspar.core.process;

import java.util.Collection;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.Position;

/** What the host that replaces primaries sees of the databases and does to them. */
public interface DatabaseControl {
  /**
   * What a database says of itself.
   *
   * @param primary whether it leads
   * @param term its newest term
   * @param received end of the log that it has received
   */
  record DatabaseStatus(boolean primary, long term, Position received) {}

  /**
   * A registered database.
   *
   * @param answerAgeMillis time since it last answered this host; -1 if never
   */
  record Candidate(String id, boolean draining, boolean claimsPrimary, long answerAgeMillis) {}

  /** Returns the groups of the configuration. */
  Collection<String> groups();

  /** Returns the registered databases of a group. */
  Collection<Candidate> candidates(String group);

  /** Returns how many replicas of a group receive a write before it is acknowledged. */
  int syncReplicas(String group);

  /** Asks a database for its status; null if it doesn't answer in time. */
  void status(String group, String database, Consumer<@Nullable DatabaseStatus> done);

  /** Makes a primary of a lower term a replica; null if it doesn't answer in time. */
  void stepDown(String group, String database, long term, Consumer<@Nullable DatabaseStatus> done);
}
