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
 * Pushes the log of a primary to its replicas, asynchronously, one thread per replica. Each replica
 * states in its answers how long entries are to be held back, which models its lag.
 *
 * <p>A replica whose log differs is rolled back entry by entry until the logs agree; it undoes the
 * rest. A primary that is refused because of a newer term goes on trying, as it cannot know better.
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

  /** Replaces the senders of an earlier term by those of a new one. */
  synchronized void lead(PromoteRequest order) {
    close();
    for (Peer peer : order.peers()) {
      Thread sender = new Thread(() -> send(peer, order.term()), "replication-" + peer.id());
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

  private void send(Peer peer, long term) {
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
      // A later promotion or the end of the process replaced this sender.
      Thread.currentThread().interrupt();
    }
  }

  private @Nullable AppendReply call(Peer peer, AppendRequest request) throws InterruptedException {
    try {
      return client.post(peer.address(), peer.controlPort(), "/append", request, AppendReply.class);
    } catch (IOException e) {
      // The replica is down or cut off; the caller tries again.
      return null;
    }
  }

  static long nextOffset(AppendRequest request, AppendReply reply) {
    if (reply.accepted()) {
      return request.previousOffset() + request.entries().size();
    }
    return Math.max(0, Math.min(reply.offset(), request.previousOffset() - 1));
  }
}
