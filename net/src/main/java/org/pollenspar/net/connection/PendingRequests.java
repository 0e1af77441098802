package org.pollenspar.net.connection;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;
import org.pollenspar.wire.Envelope;

/**
 * Requests that wait for their responses; thread-safe.
 *
 * <p>Invariant: an id is issued once in the life of the process, and whoever completes a request
 * removes its id first. A response therefore completes no other request than the one it answers,
 * and a request ends once.
 */
final class PendingRequests {
  private final int limit;
  private final AtomicLong nextId = new AtomicLong();
  private final AtomicInteger count = new AtomicInteger();
  private final Map<Long, Pending> requests = new ConcurrentHashMap<>();
  private final LongAdder dropped = new LongAdder();

  PendingRequests(int limit) {
    this.limit = limit;
  }

  /** A request that waits for its response. */
  static final class Pending {
    private final long id;
    private final CompletableFuture<Envelope> response = new CompletableFuture<>();
    private boolean maybeSent;
    private boolean ended;
    private volatile @Nullable ScheduledFuture<?> timeout;

    private Pending(long id) {
      this.id = id;
    }

    long id() {
      return id;
    }

    CompletableFuture<Envelope> response() {
      return response;
    }

    /**
     * Marks the request as possibly sent; returns false if it has ended and must not be written.
     * Without the lock, a timeout between check and mark would report the request as unsent, and it
     * would be written all the same.
     */
    synchronized boolean claimForSending() {
      maybeSent = !ended;
      return maybeSent;
    }

    private synchronized boolean end() {
      ended = true;
      return maybeSent;
    }

    void timeout(ScheduledFuture<?> scheduled) {
      timeout = scheduled;
      if (response.isDone()) {
        scheduled.cancel(false);
      }
    }

    private void cancelTimeout() {
      ScheduledFuture<?> scheduled = timeout;
      if (scheduled != null) {
        scheduled.cancel(false);
      }
    }
  }

  /** Adds a request; empty if the limit is reached. */
  Optional<Pending> add() {
    if (count.incrementAndGet() > limit) {
      count.decrementAndGet();
      return Optional.empty();
    }
    Pending pending = new Pending(nextId.incrementAndGet());
    requests.put(pending.id, pending);
    return Optional.of(pending);
  }

  /** Completes the request that this response answers, or counts the response as dropped. */
  void complete(Envelope response) {
    Pending pending = remove(response.getRequestId());
    if (pending == null) {
      drop();
    } else {
      pending.response.complete(response);
    }
  }

  /** Counts a response that no request waits for. */
  void drop() {
    dropped.increment();
  }

  /** Fails a request; does nothing if it has ended. */
  void fail(long id, String reason) {
    Pending pending = remove(id);
    if (pending != null) {
      pending.response.completeExceptionally(new PeerFailure(reason, pending.end()));
    }
  }

  void failAll(String reason) {
    requests.keySet().forEach(id -> fail(id, reason));
  }

  private @Nullable Pending remove(long id) {
    Pending pending = requests.remove(id);
    if (pending != null) {
      count.decrementAndGet();
      pending.cancelTimeout();
    }
    return pending;
  }

  int size() {
    return count.get();
  }

  long dropped() {
    return dropped.sum();
  }
}
