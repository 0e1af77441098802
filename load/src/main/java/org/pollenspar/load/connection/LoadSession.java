package org.pollenspar.load.connection;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Session of a simulated caller: its session tokens and its counter row.
 *
 * <p>Requests of a session may overlap. A returned token covers the tokens that were sent with its
 * request, so it replaces those. Tokens returned to overlapping requests stay side by side, and the
 * next request sends all of them.
 *
 * <p>Each counter write uses a new value, whatever the outcome of the earlier writes. A value that
 * is read therefore identifies the write that produced it, and the value of a write that was
 * answered "not run" must never be read.
 */
public final class LoadSession {
  /** The most tokens that a proxy accepts in one request. */
  public static final int MAX_TOKENS = 16;

  private final String id;
  private final String group;
  private final Set<String> tokens = new LinkedHashSet<>();
  private final Set<Long> notRunValues = new HashSet<>();
  private long confirmed;
  private long attempted;
  private boolean writing;

  /** Creates a session with its first tokens and the group of its counter. */
  public LoadSession(String id, String group, List<String> firstTokens) {
    this.id = id;
    this.group = group;
    tokens.addAll(firstTokens);
  }

  /** Returns the id of the counter row, which is also the id of the session. */
  public String id() {
    return id;
  }

  /** Returns the group of the counter row. */
  public String group() {
    return group;
  }

  /** Returns whether a request can carry all tokens of the session. */
  public synchronized boolean available() {
    return tokens.size() <= MAX_TOKENS;
  }

  public synchronized List<String> tokens() {
    return List.copyOf(tokens);
  }

  /** Replaces the tokens that were sent with a request by the token that its answer returned. */
  public synchronized void accept(List<String> sent, String returned) {
    if (!returned.isEmpty()) {
      tokens.removeAll(sent);
      tokens.add(returned);
    }
  }

  /** Returns the value for a new counter write; empty while another write is running. */
  public synchronized Optional<Long> startWrite() {
    if (writing) {
      return Optional.empty();
    }
    writing = true;
    attempted++;
    return Optional.of(attempted);
  }

  /** Ends the running counter write as done. */
  public synchronized void writeDone() {
    writing = false;
    confirmed = attempted;
  }

  /** Ends the running counter write as not run. */
  public synchronized void writeNotRun() {
    writing = false;
    notRunValues.add(attempted);
  }

  /** Returns the value of the last write that was done. */
  public synchronized long confirmed() {
    return confirmed;
  }

  /**
   * Checks a counter value that was read.
   *
   * @param floor value that was confirmed before the read was sent
   * @return description of the violated guarantee; empty if none is
   */
  public synchronized Optional<String> checkRead(long seen, long floor) {
    if (seen < floor) {
      return Optional.of(
          "P1: session " + id + " read " + seen + " after its write of " + floor + " was done");
    }
    if (notRunValues.contains(seen)) {
      return Optional.of(
          "P5: session " + id + " read " + seen + ", whose write was answered as not run");
    }
    if (seen > attempted) {
      return Optional.of("P4: session " + id + " read " + seen + ", which it never wrote");
    }
    return Optional.empty();
  }
}
