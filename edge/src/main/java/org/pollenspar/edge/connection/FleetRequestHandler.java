package org.pollenspar.edge.connection;

import java.util.function.Consumer;
import org.pollenspar.core.connection.ForwardedWork;
import org.pollenspar.core.connection.QuotaService;
import org.pollenspar.core.connection.SlotPermitRequest;
import org.pollenspar.core.process.CoordinationStore;
import org.pollenspar.core.process.FleetMessages;
import org.pollenspar.core.process.SharedWatch;

/**
 * Executes the requests that other members send to this host. All methods are called on the event
 * loop; each callback is called exactly once.
 */
public interface FleetRequestHandler {
  /**
   * Stops this host's use of a group's primary because a primary change has begun. The callback
   * acknowledges the revocation.
   *
   * @param revision revision of the store at which the start of the change was recorded
   */
  void revoke(String group, long revision, Consumer<Boolean> done);

  /** Reports whether a database answers this host. */
  void reaches(String group, String database, Consumer<Boolean> done);

  /** Renews the shared lease for another member; see {@link FleetMessages#renew}. */
  void renew(long lease, Consumer<Boolean> done);

  /** Passes the events of the store to another member; see {@link SharedWatch#poll}. */
  void watch(long afterRevision, long waitMillis, Consumer<CoordinationStore.Reply> done);

  /**
   * Returns whether the store doesn't serve this host, this host's last confirmation came from the
   * given shared lease, and it has no primary change in progress.
   */
  boolean confirmsStoreOutage(long lease);

  /**
   * Decides about a permit request for a database that this host brokers.
   *
   * @param slots how many statements the database runs at once
   */
  void requestPermit(String database, int slots, SlotPermitRequest permitRequest);

  /**
   * Withdraws a permit request that waits, or releases its permit.
   *
   * @param delayMillis by how much the database's queue lately delayed the answers that the other
   *     host received
   */
  void releasePermit(String database, SlotPermitRequest permitRequest, long delayMillis);

  /** Returns the work that a new connection of another host brings. */
  ForwardedWork acceptForwardedWork();

  /** Returns what coordinates the rates of organisations on this host. */
  QuotaService quotas();

  /** Calls the platform's store on behalf of a host that the store doesn't serve. */
  void callPlatform(
      String method, String path, byte[] body, int timeoutMillis, PlatformCallback done);

  /** Receives the result of one HTTP call to the platform. */
  interface PlatformCallback {
    /**
     * Called exactly once, when the call has ended.
     *
     * @param status HTTP status, or {@link #NO_ANSWER} or {@link #NOT_SENT} if there is none
     */
    void completed(int status, byte[] body);
  }

  /** No answer was received; the call may have been executed. */
  int NO_ANSWER = 0;

  /** The call was not sent, so it was certainly not executed. */
  int NOT_SENT = -1;
}
