package org.pollenspar.core.process;

import java.util.Collection;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.DatabaseEntry;
import org.pollenspar.core.connection.Position;

/** Access of the host that replaces primaries to the databases. */
public interface DatabaseControl {
  /**
   * What a database reports about itself.
   *
   * @param primary whether it is the primary
   * @param term its newest term
   * @param received end of the log that it has received
   */
  record DatabaseStatus(boolean primary, long term, Position received) {}

  /**
   * A registered database.
   *
   * @param address IP address and port
   * @param claimsPrimary whether its registration names it as the primary
   * @param answerAgeMillis time since it last answered this host; -1 if never
   * @param born when it was started, in milliseconds since 1970; 0 if unknown
   */
  record Candidate(
      String id,
      String address,
      boolean draining,
      boolean claimsPrimary,
      long answerAgeMillis,
      long born) {
    /** Returns a name that the database loses when it starts again under its id. */
    String incarnation() {
      return DatabaseEntry.incarnation(id, born);
    }
  }

  /** Returns the names of the groups in the configuration. */
  Collection<String> groups();

  /** Returns the databases that are registered for a group. */
  Collection<Candidate> candidates(String group);

  /**
   * Returns the databases of a group with synchronous replication whose registration has lapsed,
   * unless a {@link ReplicaSet} that was recorded later says that they were removed.
   */
  Collection<Candidate> lapsed(String group);

  /** Returns how many replicas of a group receive a write before it is acknowledged. */
  int syncReplicas(String group);

  /** Asks a database for its status; passes null if it doesn't answer in time. */
  void status(String group, String database, Consumer<@Nullable DatabaseStatus> done);

  /**
   * Makes a primary a replica if its term is lower than the given one; passes its status then, or
   * null if it doesn't answer in time.
   */
  void stepDown(String group, String database, long term, Consumer<@Nullable DatabaseStatus> done);
}
