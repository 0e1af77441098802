package org.pollenspar.proxy.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.WorkRequest;

/** Access to the homes on this proxy. Safe for use by several threads. */
public interface LocalHomes {

  /**
   * Submits a request to the home of its group on this proxy.
   *
   * @return the outcome; empty if this proxy is no home of the group or returns the request
   *     unstarted
   */
  CompletableFuture<Optional<Outcome>> submit(WorkRequest request);

  /** Returns the last known number of requests that wait at the home of a group on this proxy. */
  int queueLength(String group);
}
