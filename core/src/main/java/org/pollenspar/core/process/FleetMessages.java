package org.pollenspar.core.process;

import java.util.function.Consumer;

/** Messages to other members. Each callback is called exactly once. */
public interface FleetMessages {
  /**
   * Asks a member to stop using a group's primary because of the intent written at a revision.
   *
   * @param done receives true if the member, or its restarted process, has stopped using it
   */
  void revoke(Member member, String group, long revision, Consumer<Boolean> done);

  /** Passes whether a member answers. */
  void ping(Member member, Consumer<Boolean> done);

  /**
   * Asks a member whether the store doesn't serve it either, its last confirmation came from the
   * given shared lease, and it has no change of a primary in progress. Passes false also if the
   * member doesn't answer.
   */
  void confirmsStoreOutage(Member member, long lease, Consumer<Boolean> done);

  /**
   * Asks a member to renew the shared lease for this host too. Passes true only if the store
   * renewed it by a call that the member sent after the request had arrived.
   */
  void renew(Member member, long lease, Consumer<Boolean> done);

  /**
   * Asks the member that watches the store for this host's failure domain for the events after a
   * revision; see {@link SharedWatch#poll}. The status is UNKNOWN if the member doesn't answer.
   */
  void watch(
      Member member, long afterRevision, long waitMillis, Consumer<CoordinationStore.Reply> done);

  /**
   * Asks a member whether a database answers it. Passes false also if the member doesn't answer.
   */
  void reaches(Member member, String group, String database, Consumer<Boolean> done);
}
