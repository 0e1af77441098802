package org.pollenspar.edge.connection;

import java.util.function.Consumer;
import org.pollenspar.core.connection.SlotPermitRequest;

/** Answers requests of other members. Each callback is called exactly once. */
public interface FleetRequestHandler {
  /** Lets go of a group's primary. */
  void revoke(String group, long revision, Consumer<Boolean> done);

  /** Says whether a database answers this host. */
  void reaches(String group, String database, Consumer<Boolean> done);

  /**
   * Returns whether the store doesn't serve this host, its last proof came from a lease, and it has
   * no change of a primary under way.
   */
  boolean confirmsStoreOutage(long lease);

  /** Decides about a ticket for a database that this host brokers. */
  void requestPermit(String database, int slots, SlotPermitRequest permitRequest);

  /** Takes a ticket back. */
  void releasePermit(String database, SlotPermitRequest permitRequest, long delayMillis);

  /** Calls the platform for a host that the platform doesn't serve. */
  void callPlatform(
      String method, String path, byte[] body, int timeoutMillis, PlatformCallback done);

  /** Receives the platform's answer. */
  interface PlatformCallback {
    /**
     * The call ended.
     *
     * @param status HTTP status; {@link #NO_ANSWER} or {@link #NOT_SENT} without one
     */
    void completed(int status, byte[] body);
  }

  /** The call may have been executed. */
  int NO_ANSWER = 0;

  /** The call was certainly not executed. */
  int NOT_SENT = -1;
}
