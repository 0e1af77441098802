package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Makes calls to a service through other members while it doesn't serve this host.
 *
 * <p>The trouble that it answers: the service refuses a share of the hosts for some seconds, so a
 * member may be refused as well. A call that such a member didn't execute is repeated through
 * another one, and later calls go through the member that was served last.
 *
 * <p>Invariant: a call that may have been executed is repeated only if it is idempotent, and no
 * call is repeated after its time limit.
 *
 * <p>All methods run on one thread.
 */
public final class RelayedCalls {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Bounds the messages of one call; the members that failed are avoided by the next calls. */
  private static final int MAX_MEMBERS = 4;

  /** How long a member that wasn't served is used only after the others. */
  private static final long AVOIDANCE_MS = 1_500;

  /** What the result of a call through a member shows. */
  public enum Outcome {
    /** The service answered it. */
    ANSWERED,
    /** The service didn't execute it. */
    NOT_EXECUTED,
    /** It may have been executed. */
    UNKNOWN
  }

  private final String self;
  private final String domain;
  private final Clocks clocks;
  private final Avoidance avoided;
  private String lastServed = "";

  /**
   * Creates the calls of a host.
   *
   * @param self name of this host
   * @param domain failure domain of this host, whose members are used first
   */
  public RelayedCalls(String self, String domain, Clocks clocks) {
    this.self = self;
    this.domain = domain;
    this.clocks = clocks;
    this.avoided = new Avoidance(clocks, AVOIDANCE_MS);
  }

  /**
   * Makes one call.
   *
   * @param members the members, this host included
   * @param idempotent whether the call may be executed twice
   * @param timeoutMillis time after which it isn't repeated
   * @param send makes the call through a member and passes on the result, exactly once
   * @param outcome what a result shows
   * @param notSent result if there is no member
   * @param done receives the last result, exactly once
   */
  public <T> void call(
      Collection<Member> members,
      boolean idempotent,
      long timeoutMillis,
      BiConsumer<Member, Consumer<T>> send,
      Function<T, Outcome> outcome,
      T notSent,
      Consumer<T> done) {
    long deadlineNanos = clocks.steadyNanos() + timeoutMillis * NANOS_PER_MILLI;
    new Call<>(List.copyOf(members), idempotent, deadlineNanos, send, outcome, done).next(notSent);
  }

  /** Returns the member to use next; null if all were tried. */
  private @Nullable Member choose(List<Member> members, Set<String> tried) {
    List<Member> usable = new ArrayList<>(members);
    usable.removeIf(
        each -> each.name().equals(self) || each.suspended() || tried.contains(each.name()));
    return usable.stream()
        .min(
            Comparator.<Member, Boolean>comparing(each -> avoided.contains(each.name()))
                .thenComparing(each -> !each.name().equals(lastServed))
                .thenComparing(each -> !each.domain().equals(domain))
                .thenComparing(
                    each -> Rendezvous.weight(self, each.name()), Comparator.reverseOrder()))
        .orElse(null);
  }

  private final class Call<T> {
    private final List<Member> members;
    private final boolean idempotent;
    private final long deadlineNanos;
    private final BiConsumer<Member, Consumer<T>> send;
    private final Function<T, Outcome> outcome;
    private final Consumer<T> done;
    private final Set<String> tried = new HashSet<>();

    Call(
        List<Member> members,
        boolean idempotent,
        long deadlineNanos,
        BiConsumer<Member, Consumer<T>> send,
        Function<T, Outcome> outcome,
        Consumer<T> done) {
      this.members = members;
      this.idempotent = idempotent;
      this.deadlineNanos = deadlineNanos;
      this.send = send;
      this.outcome = outcome;
      this.done = done;
    }

    /**
     * Tries the next member, or ends the call.
     *
     * @param last last result, which the call ends with if no member is left
     */
    void next(T last) {
      @Nullable Member member = tried.size() < MAX_MEMBERS ? choose(members, tried) : null;
      if (member == null || clocks.steadyNanos() - deadlineNanos >= 0) {
        done.accept(last);
        return;
      }
      tried.add(member.name());
      send.accept(member, result -> completed(member, result));
    }

    private void completed(Member member, T result) {
      Outcome shown = outcome.apply(result);
      if (shown == Outcome.ANSWERED) {
        lastServed = member.name();
        done.accept(result);
        return;
      }
      avoided.add(member.name());
      if (shown == Outcome.UNKNOWN && !idempotent) {
        done.accept(result);
      } else {
        next(result);
      }
    }
  }
}
