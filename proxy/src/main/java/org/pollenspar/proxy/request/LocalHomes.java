package org.pollenspar.proxy.request;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.WorkRequest;

/** The homes on this proxy, as other threads reach them. */
public interface LocalHomes {

  /**
   * Submits a request to the home on this proxy.
   *
   * @return the outcome; empty if this proxy is no home or hands the request back unstarted
   */
  CompletableFuture<Optional<Outcome>> submit(WorkRequest request);

  /** Returns how many requests wait at the home of a group on this proxy, as last known. */
  int queueLength(String group);
}
