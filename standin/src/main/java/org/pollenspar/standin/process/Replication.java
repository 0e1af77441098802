package org.pollenspar.standin.process;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.pollenspar.standin.connection.DatabaseFaults;
import org.pollenspar.standin.version.AppendReply;
import org.pollenspar.standin.version.AppendRequest;
import org.pollenspar.standin.version.DatabaseEngine;

/**
 * Sends the log of a primary to its replicas, asynchronously, with one thread per replica. Each
 * replica states in its replies how long the primary has to hold entries back; this models
 * replication lag.
 *
 * <p>If the log of a replica differs from the primary's, the sender moves back, one entry at a time
 * or to the end of a shorter log, until the logs agree; the replica undoes its entries after that
 * point. A primary whose entries are refused because of a newer term keeps retrying, because it
 * cannot tell from the refusal whether it has been replaced. A sender ends when the database no
 * longer leads the sender's term or when the thread is interrupted.
 */
final class Replication implements AutoCloseable {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final long HEARTBEAT_MILLIS = 100;
  private static final long RETRY_MILLIS = 50;
  private static final int BATCH_ENTRIES = 500;

  private final DatabaseEngine engine;
  private final DatabaseFaults faults;
  private final ControlClient client = new ControlClient(CALL_TIMEOUT);
  private final List<Thread> senders = new ArrayList<>();

  Replication(DatabaseEngine engine, DatabaseFaults faults) {
    this.engine = engine;
    this.faults = faults;
  }

  /** Stops the senders of the previous term and starts one per replica for the new term. */
  synchronized void startSenders(PromoteRequest request) {
    close();
    for (ReplicationPeer peer : request.peers()) {
      Thread sender = new Thread(() -> send(peer, request.term()), "replication-" + peer.id());
      sender.setDaemon(true);
      senders.add(sender);
      sender.start();
    }
  }

  @Override
  public synchronized void close() {
    senders.forEach(Thread::interrupt);
    senders.clear();
  }

  private void send(ReplicationPeer peer, long term) {
    long next = engine.state().logOffset();
    long lagMillis = 0;
    try {
      while (engine.primaryTerm().filter(led -> led == term).isPresent()) {
        AppendRequest request =
            engine.entriesAfter(next, lagMillis, HEARTBEAT_MILLIS, BATCH_ENTRIES);
        if (request.term() != term) {
          return;
        }
        AppendReply reply = faults.partitioned ? null : call(peer, request);
        if (reply == null || reply.stale()) {
          Thread.sleep(RETRY_MILLIS);
        } else {
          lagMillis = reply.lagMillis();
          next = nextOffset(request, reply);
        }
      }
    } catch (InterruptedException e) {
      // The sender was stopped by a later promotion or by close().
      Thread.currentThread().interrupt();
    }
  }

  private @Nullable AppendReply call(ReplicationPeer peer, AppendRequest request)
      throws InterruptedException {
    try {
      return client.post(peer.address(), peer.controlPort(), "/append", request, AppendReply.class);
    } catch (IOException e) {
      // The replica is down or cut off; the sender retries.
      return null;
    }
  }

  /** Returns the offset after which the next request to the replica starts. */
  static long nextOffset(AppendRequest request, AppendReply reply) {
    if (reply.accepted()) {
      return request.previousOffset() + request.entries().size();
    }
    return Math.max(0, Math.min(reply.offset(), request.previousOffset() - 1));
  }
}
