package org.pollenspar.load.connection;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A caller's session: its tokens and its counter row.
 *
 * <p>Requests of a session may overlap. Each returned token covers the tokens that were sent with
 * its request, so the session keeps the returned one instead of those and sends all that are left.
 *
 * <p>The counter takes a number at most once, whatever becomes of the write. So a read shows which
 * write it saw, and a number whose write was answered "not run" must never be seen.
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

  /** Returns the id of the counter row. */
  public String id() {
    return id;
  }

  /** Returns the group of the counter row. */
  public String group() {
    return group;
  }

  /** Returns whether another request can be sent with all of the session's tokens. */
  public synchronized boolean available() {
    return tokens.size() <= MAX_TOKENS;
  }

  /** Returns the tokens to send. */
  public synchronized List<String> tokens() {
    return List.copyOf(tokens);
  }

  /** Takes a returned token, which covers those that were sent. */
  public synchronized void accept(List<String> sent, String returned) {
    if (!returned.isEmpty()) {
      tokens.removeAll(sent);
      tokens.add(returned);
    }
  }

  /** Starts a counter write; empty if one is running. */
  public synchronized Optional<Long> startWrite() {
    if (writing) {
      return Optional.empty();
    }
    writing = true;
    attempted++;
    return Optional.of(attempted);
  }

  /** Notes that the counter write was done. */
  public synchronized void writeDone() {
    writing = false;
    confirmed = attempted;
  }

  /** Notes that the counter write was not run. */
  public synchronized void writeNotRun() {
    writing = false;
    notRunValues.add(attempted);
  }

  /** Returns the last number whose write was done. */
  public synchronized long confirmed() {
    return confirmed;
  }

  /**
   * Checks a number that was read.
   *
   * @param floor number that was confirmed before the read was sent
   * @return what is wrong; empty if nothing is
   */
  public synchronized Optional<String> checkRead(long seen, long floor) {
    if (seen < floor) {
      return Optional.of(
          "P1: session " + id + " read " + seen + " after its write of " + floor + " was done");
    }
    if (notRunValues.contains(seen)) {
      return Optional.of("P5: session " + id + " read " + seen + ", answered as not run");
    }
    if (seen > attempted) {
      return Optional.of("P4: session " + id + " read " + seen + ", which it never wrote");
    }
    return Optional.empty();
  }
}
