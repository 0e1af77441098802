package org.pollenspar.standin.process;

import java.util.concurrent.atomic.AtomicInteger;

/** Faults that the platform stand-in injects; they are set while it runs. */
final class PlatformFaults {
  /** The key-value service replies with 503. */
  volatile boolean keyValueDown;

  /** The key-value service accepts calls but never replies. */
  volatile boolean keyValueHangs;

  /** Delay of every reply of the key-value service, in milliseconds. */
  volatile long keyValueLatencyMillis;

  /** Delay between a change of the host list and its publication, in milliseconds. */
  volatile long hostLagMillis;

  /** Reads and watches of the host list get 503. */
  volatile boolean hostsDown;

  /** The group API replies with 503. */
  volatile boolean groupsDown;

  /**
   * Number of replies to writes and lease calls of the key-value service that are still to be
   * dropped; the change is made, the caller sees no reply.
   */
  final AtomicInteger lostWriteAnswers = new AtomicInteger();

  /** Number of replies to POST calls of the group API that are still to be dropped likewise. */
  final AtomicInteger lostGroupAnswers = new AtomicInteger();
}
