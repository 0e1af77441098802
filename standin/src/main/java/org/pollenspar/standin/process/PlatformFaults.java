package org.pollenspar.standin.process;

import java.util.concurrent.atomic.AtomicInteger;

/** Faults that the platform shows on demand. */
final class PlatformFaults {
  /** The key-value service answers with 503. */
  volatile boolean keyValueDown;

  /** The key-value service does not answer. */
  volatile boolean keyValueHangs;

  /** Added to every answer of the key-value service, in milliseconds. */
  volatile long keyValueLatencyMillis;

  /** Delay between a change of the host list and its publication, in milliseconds. */
  volatile long hostLagMillis;

  /** The host list answers with 503. */
  volatile boolean hostsDown;

  /** The group API answers with 503. */
  volatile boolean groupsDown;

  /** The next answers to writes of the key-value service are lost after the change. */
  final AtomicInteger lostWriteAnswers = new AtomicInteger();

  /** The next answers of the group API are lost after the change. */
  final AtomicInteger lostGroupAnswers = new AtomicInteger();
}
