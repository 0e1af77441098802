package org.pollenspar.core.connection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Decides when callers' connections are read and which of them are closed, so that what callers
 * send, or don't read, can't exhaust the process.
 *
 * <p>Each connection reports the bytes that it holds in the process: input that is not yet part of
 * a queued statement, statements without an answer, session state, and answers that are not sent. A
 * limit for each connection alone would have to be the limit of the process divided by the greatest
 * number of connections, which is less than one legal message. So the sum is limited, and while it
 * is above the limit, the connection with the most bytes is closed. Callers with messages of usual
 * size are never among those, as a crowd that reaches the limit holds more for each connection.
 *
 * <p>A connection isn't read while it has many unanswered statements or unread answers, which keeps
 * the rest of its input in the network.
 *
 * <p>The same limit covers what the process holds for callers elsewhere: rows of answers that
 * databases are sending, answers that other hosts have not received, and statements that other
 * hosts forward. The holder of the most bytes is closed also if it is not a caller's connection,
 * since only that releases them. Forwarded statements have at most half of the limit; those above
 * it are refused before they start.
 *
 * <p>Invariant: {@link #bufferedBytes} is the sum over the open connections, the open {@link
 * HeldBytes} and the forwarded statements.
 */
public final class CallerBackpressure {
  /** Unread answers above which a connection isn't read. */
  public static final long HIGH_WATER_BYTES = 256 << 10;

  /** Unread answers below which such a connection is read again. */
  public static final long LOW_WATER_BYTES = 64 << 10;

  /** Unanswered statements at which a connection isn't read: the one that runs and those behind. */
  public static final int MAX_UNANSWERED = CallerSession.PIPELINE_LIMIT + 1;

  /**
   * Unanswered statements at which such a connection is read again. Well above none, so that the
   * session always finds the next statement in its queue.
   */
  public static final int RESUME_UNANSWERED = CallerSession.PIPELINE_LIMIT / 2;

  /** Counted for each unanswered statement, and each unsent answer, besides its text. */
  private static final int OBJECT_BYTES = 256;

  /** A growing buffer may have twice the size of its content. */
  private static final int INPUT_BUFFER_FACTOR = 2;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Limits of a process.
   *
   * @param bufferedBytes bytes that the connections may hold in the process together
   * @param connections greatest number of connections
   * @param incompleteMillis time for the rest of a message, once its first part has arrived
   * @param undrainedMillis time for reading answers, on a connection that isn't read because of
   *     them
   */
  public record Limits(
      long bufferedBytes, int connections, long incompleteMillis, long undrainedMillis) {}

  /** Why a connection is closed. */
  public enum CloseCause {
    BUFFERED_BYTES("buffered_bytes"),
    CONNECTIONS("connections"),
    INCOMPLETE_MESSAGE("incomplete_message"),
    UNREAD_ANSWERS("unread_answers");

    private final String label;

    CloseCause(String label) {
      this.label = label;
    }

    /** Returns the name in metrics and in the log. */
    public String label() {
      return label;
    }
  }

  /** The connection of one caller, to which the decisions are applied. */
  public interface Connection {
    /** Starts or stops reading. */
    void reading(boolean wanted);

    /**
     * Closes the connection at once; unsent answers are dropped.
     *
     * @param bytes what it holds in the process
     */
    void closeNow(CloseCause cause, long bytes);
  }

  private final Limits limits;
  private final Set<Usage> open = new LinkedHashSet<>();

  /** Those that hold bytes now. */
  private final Set<HeldBytes> holding = new LinkedHashSet<>();

  private long bufferedBytes;
  private long forwardedBytes;
  private int suspended;
  private long suspensions;

  public CallerBackpressure(Limits limits) {
    this.limits = limits;
  }

  /** Returns the bytes that the process holds for callers. */
  public long bufferedBytes() {
    return bufferedBytes;
  }

  /** Returns the number of connections that aren't read now. */
  public int suspended() {
    return suspended;
  }

  /** Returns how often reading of a connection was stopped. */
  public long suspensions() {
    return suspensions;
  }

  /**
   * Accepts a new connection; returns null if it must be closed, as there are too many. A
   * connection that has opened no session within the time for an incomplete message makes room.
   */
  public @Nullable Usage open(Connection connection, long nowNanos) {
    if (open.size() >= limits.connections()) {
      open.stream()
          .filter(each -> !each.hasSession && elapsed(each.openedNanos, nowNanos, incomplete()))
          .findFirst()
          .ifPresent(each -> each.close(CloseCause.CONNECTIONS));
    }
    if (open.size() >= limits.connections()) {
      return null;
    }
    Usage usage = new Usage(connection, nowNanos);
    open.add(usage);
    return usage;
  }

  /** Returns whether a forwarded statement of this size may be held. */
  boolean admitsForwarded(long bytes) {
    return forwardedBytes + bytes <= limits.bufferedBytes() / 2
        && bufferedBytes + bytes <= limits.bufferedBytes();
  }

  /** Records by how many bytes the forwarded statements without an outcome have changed. */
  void forwarded(long change) {
    forwardedBytes += change;
    bufferedBytes += change;
    if (change > 0) {
      closeLargest();
    }
  }

  /**
   * Returns an account of bytes that are held outside of callers' connections.
   *
   * @param close releases the bytes; called at most once, and may not call back before it returns
   */
  public HeldBytes holder(Runnable close) {
    return new HeldBytes(close);
  }

  /** Closes connections whose time for a message or for reading answers is over. */
  public void closeOverdue(long nowNanos) {
    List<Usage> overdue = new ArrayList<>();
    for (Usage each : open) {
      if (each.drainSinceNanos != null
          && elapsed(each.drainSinceNanos, nowNanos, limits.undrainedMillis())) {
        overdue.add(each);
      } else if (!each.suspended
          && each.partSinceNanos != null
          && elapsed(each.partSinceNanos, nowNanos, incomplete())) {
        overdue.add(each);
      }
    }
    for (Usage each : overdue) {
      each.close(
          each.drainSinceNanos != null
                  && elapsed(each.drainSinceNanos, nowNanos, limits.undrainedMillis())
              ? CloseCause.UNREAD_ANSWERS
              : CloseCause.INCOMPLETE_MESSAGE);
    }
  }

  private long incomplete() {
    return limits.incompleteMillis();
  }

  private static boolean elapsed(long sinceNanos, long nowNanos, long millis) {
    return nowNanos - sinceNanos >= millis * NANOS_PER_MILLI;
  }

  private void closeLargest() {
    while (bufferedBytes > limits.bufferedBytes()) {
      @Nullable Usage caller =
          open.stream().max(Comparator.comparingLong(each -> each.bytes)).orElse(null);
      @Nullable HeldBytes other =
          holding.stream().max(Comparator.comparingLong(each -> each.bytes)).orElse(null);
      if (other != null && (caller == null || other.bytes > caller.bytes)) {
        other.close();
      } else if (caller != null) {
        caller.close(CloseCause.BUFFERED_BYTES);
      } else {
        return;
      }
    }
  }

  /** Bytes that are held for callers by something other than a caller's connection. */
  public final class HeldBytes {
    private final Runnable close;
    private long bytes;
    private boolean closed;

    private HeldBytes(Runnable close) {
      this.close = close;
    }

    /** Records an object of a given size. */
    public void add(int count) {
      change((long) count + OBJECT_BYTES);
    }

    /** Records that such an object is released. */
    public void remove(int count) {
      change(-((long) count + OBJECT_BYTES));
    }

    /** Records that everything is released. */
    public void clear() {
      change(-bytes);
    }

    private void change(long change) {
      if (closed || change == 0) {
        return;
      }
      bytes += change;
      bufferedBytes += change;
      if (bytes == 0) {
        holding.remove(this);
      } else {
        holding.add(this);
      }
      if (change > 0) {
        closeLargest();
      }
    }

    /** Ends the accounting. */
    public void closed() {
      clear();
      closed = true;
    }

    private void close() {
      closed();
      close.run();
    }
  }

  /** What one connection holds, and whether it is read. */
  public final class Usage {
    private final Connection connection;
    private final long openedNanos;
    private long bytes;
    private long inputBytes;
    private long unsentBytes;
    private long sessionBytes;
    private int unanswered;
    private boolean hasSession;
    private boolean suspended;
    private boolean closing;
    private boolean closed;
    private @Nullable Long partSinceNanos;
    private @Nullable Long drainSinceNanos;

    private Usage(Connection connection, long openedNanos) {
      this.connection = connection;
      this.openedNanos = openedNanos;
    }

    /** Returns whether reading is stopped. */
    public boolean suspended() {
      return suspended;
    }

    /** Returns the number of statements without an answer. */
    public int unanswered() {
      return unanswered;
    }

    /** Records that a message is complete. */
    public void messageCompleted() {
      partSinceNanos = null;
    }

    /**
     * Records the input that is held.
     *
     * @param partBytes part of a message whose rest has not arrived
     * @param messageBytes complete messages that are not processed yet
     * @param messages number of these messages
     */
    public void input(int partBytes, long messageBytes, int messages, long nowNanos) {
      if (partBytes == 0) {
        partSinceNanos = null;
      } else if (partSinceNanos == null) {
        partSinceNanos = nowNanos;
      }
      long count =
          (long) INPUT_BUFFER_FACTOR * partBytes + messageBytes + (long) OBJECT_BYTES * messages;
      long change = count - inputBytes;
      inputBytes = count;
      add(change);
    }

    /** Records the size of the session's state; the connection has a session from then on. */
    public void sessionState(long count) {
      hasSession = true;
      long change = count - sessionBytes;
      sessionBytes = count;
      add(change);
    }

    /** Records a statement that is queued. */
    public void queued(int count, long nowNanos) {
      unanswered++;
      add((long) count + OBJECT_BYTES);
      update(nowNanos);
    }

    /** Records the answer to a statement of a given size. */
    public void answered(int count, long nowNanos) {
      unanswered--;
      add(-((long) count + OBJECT_BYTES));
      update(nowNanos);
    }

    /** Records output that waits for the caller to read. */
    public void written(int count, long nowNanos) {
      unsentBytes += (long) count + OBJECT_BYTES;
      add((long) count + OBJECT_BYTES);
      update(nowNanos);
    }

    /** Records output that was sent. */
    public void sent(int count, long nowNanos) {
      unsentBytes -= (long) count + OBJECT_BYTES;
      add(-((long) count + OBJECT_BYTES));
      update(nowNanos);
    }

    /** Records that the connection closes once its output is sent. */
    public void closing(long nowNanos) {
      closing = true;
      update(nowNanos);
    }

    /** Ends the accounting of a connection that is closed. */
    public void closed() {
      if (closed) {
        return;
      }
      closed = true;
      open.remove(this);
      bufferedBytes -= bytes;
      if (suspended) {
        CallerBackpressure.this.suspended--;
      }
    }

    private void close(CloseCause cause) {
      closed();
      connection.closeNow(cause, bytes);
    }

    private void add(long change) {
      if (closed) {
        return;
      }
      bytes += change;
      bufferedBytes += change;
      if (change > 0) {
        closeLargest();
      }
    }

    private void update(long nowNanos) {
      if (closed) {
        return;
      }
      boolean draining =
          closing || unsentBytes > (drainSinceNanos == null ? HIGH_WATER_BYTES : LOW_WATER_BYTES);
      if (!draining) {
        drainSinceNanos = null;
      } else if (drainSinceNanos == null) {
        drainSinceNanos = nowNanos;
      }
      boolean full = unanswered >= MAX_UNANSWERED || suspended && unanswered > RESUME_UNANSWERED;
      boolean wanted = !full && (closing || !draining);
      if (wanted && suspended) {
        suspended = false;
        CallerBackpressure.this.suspended--;
        if (partSinceNanos != null) {
          // The rest of the message may have waited in the network because of the suspension.
          partSinceNanos = nowNanos;
        }
        connection.reading(true);
      } else if (!wanted && !suspended) {
        suspended = true;
        suspensions++;
        CallerBackpressure.this.suspended++;
        connection.reading(false);
      }
    }
  }
}
