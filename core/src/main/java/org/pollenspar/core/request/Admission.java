package org.pollenspar.core.request;

import org.pollenspar.core.process.ErrorKind;

/** Result of offering a request to an {@link AdmissionQueue}. */
public sealed interface Admission {

  /** The request was added to the queue. */
  record Accepted() implements Admission {}

  /**
   * The request was not queued and will not run.
   *
   * @param kind {@code QUEUE_FULL} or {@code DEADLINE_UNREACHABLE}
   * @param expectedWaitMillis time that the request was expected to wait for a connection
   * @param retryAfterMillis time after which the caller should retry
   */
  record Refused(ErrorKind kind, long expectedWaitMillis, long retryAfterMillis)
      implements Admission {}
}
