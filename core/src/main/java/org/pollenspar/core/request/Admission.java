package org.pollenspar.core.request;

import org.pollenspar.core.process.ErrorKind;

/** Whether a queue took a request. */
public sealed interface Admission {

  /** The request waits in the queue. */
  record Accepted() implements Admission {}

  /**
   * The request was not taken and will not run.
   *
   * @param kind {@code QUEUE_FULL} or {@code DEADLINE_UNREACHABLE}
   * @param expectedWaitMillis expected wait of the request had it been taken
   * @param retryAfterMillis when to try again
   */
  record Refused(ErrorKind kind, long expectedWaitMillis, long retryAfterMillis)
      implements Admission {}
}
