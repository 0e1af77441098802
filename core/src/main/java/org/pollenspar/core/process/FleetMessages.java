package org.pollenspar.core.process;

import java.util.function.Consumer;

/** Messages to other members. Each callback is called exactly once. */
public interface FleetMessages {
  /**
   * Asks a member to let go of a group's primary because of the change written at a revision.
   *
   * @param done receives whether the member, or a later start of it, has let go
   */
  void revoke(Member member, String group, long revision, Consumer<Boolean> done);

  /** Asks a member whether it runs. */
  void ping(Member member, Consumer<Boolean> done);

  /**
   * Asks a member whether the store doesn't serve it either, its last proof came from the same
   * shared lease, and it has no change of a primary under way; false also if it doesn't answer.
   */
  void confirmsStoreOutage(Member member, long lease, Consumer<Boolean> done);

  /** Asks a member whether a database answers it; false also if the member doesn't answer. */
  void reaches(Member member, String group, String database, Consumer<Boolean> done);
}
