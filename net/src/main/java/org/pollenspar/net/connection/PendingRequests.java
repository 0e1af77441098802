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
 * Requests that wait for their responses.
 *
 * <p>Invariant: an id is issued once in the life of the process and is removed by whoever completes
 * the request, so a response completes at most the request it answers.
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

  /** A request that waits. */
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
     * Claims the request for writing; false if it has ended. Without the lock, a timeout between
     * the check and the write would report a request as unsent that is then written.
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

  /** Adds a request; empty if too many wait already. */
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

  /** Counts a response that nobody waits for. */
  void drop() {
    dropped.increment();
  }

  /** Fails a request if it still waits. */
  void fail(long id, String reason) {
    Pending pending = remove(id);
    if (pending != null) {
      pending.response.completeExceptionally(new PeerFailure(reason, pending.end()));
    }
  }

  /** Fails all requests. */
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
