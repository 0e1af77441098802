package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Watches the store for this host, in a large failure domain together with its other members, so
 * that the calls to the store grow with the number of domains and not with that of hosts.
 *
 * <p>In a domain with enough members, one of them, the watcher, watches the store. The others, its
 * followers, send it long polls. A poll names the revision after which events are needed. The
 * watcher answers with all events after it, or with none when the wait is over.
 *
 * <p>Invariant: a poll is answered only if the watcher's {@link WatchHistory} is complete from the
 * poll's revision on. A follower's revision only changes with the events of such an answer, or of
 * the store's own. So no event is skipped, whichever member is asked, even if two members take
 * themselves for the watcher. A follower that is ahead of the watcher receives nothing until the
 * watcher has events that the follower lacks.
 *
 * <p>A follower without a positive answer watches the store itself from the same revision for a
 * while, and until the watcher answers a ping: a poll to a silent watcher delays events. It reads
 * everything again only if the store no longer has the events from there on. It doesn't ask another
 * member instead: by its own member list, that one isn't the watcher.
 *
 * <p>Not thread-safe: all calls come from the thread that runs the {@link Timers}.
 */
public final class SharedWatch implements StoreFollower.Source {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Wait between two watch calls, so that events close to each other arrive with one call. */
  private static final long COALESCE_DELAY_MS = 25;

  /**
   * The same wait while events follow each other closely, as when many hosts register at once. Each
   * event wakes the watches of all hosts that watch the store, so the calls would grow with the
   * square of these hosts.
   */
  private static final long BUSY_COALESCE_DELAY_MS = 250;

  /** A watch that returned sooner shows that events follow each other closely. */
  private static final long BUSY_WATCH_MS = 300;

  /** Added to the wait of a poll or watch before its answer counts as missing. */
  private static final long ANSWER_MARGIN_MS = 500;

  /** How long a follower watches the store itself before it pings the watcher. */
  private static final long FALLBACK_MS = 5_000;

  private final CoordinationStore store;
  private final FleetMessages messages;
  private final Timers timers;
  private final Clocks clocks;
  private final Member self;
  private final DomainDelegate delegate;
  private final long applyMillis;
  private final BooleanSupplier serving;
  private final ControlListener listener;

  private final WatchHistory history = new WatchHistory();
  private final List<WaitingPoll> waiting = new ArrayList<>();

  /** Whether the last watch as the watcher began and hasn't failed. */
  private boolean historyContinues;

  private boolean callInProgress;
  private long callBeganNanos;
  private long coalesceMillis;
  private boolean leaving;
  private boolean fallback;
  private boolean pinging;
  private long fallbackBeganNanos;
  private String loggedRole = "";
  private long pollsServed;
  private long pollsDeclined;
  private long fallbacks;

  /**
   * Creates a watch.
   *
   * @param minMembers members of a failure domain from which on one of them watches for all
   * @param applyMillis time within which a new configuration must be in force. Two consecutive
   *     waits that deliver nothing must end within it: a host that watches alone waits half of it.
   *     In a shared watch, the watcher's wait and the follower's add up, so each is a quarter.
   * @param serving whether this host may watch for others
   */
  public SharedWatch(
      CoordinationStore store,
      FleetTable table,
      FleetMessages messages,
      Timers timers,
      Clocks clocks,
      Member self,
      int minMembers,
      long applyMillis,
      BooleanSupplier serving,
      ControlListener listener) {
    this.store = store;
    this.messages = messages;
    this.timers = timers;
    this.clocks = clocks;
    this.self = self;
    this.delegate = new DomainDelegate(table, self, minMembers, "watch");
    this.applyMillis = applyMillis;
    this.serving = serving;
    this.listener = listener;
  }

  @Override
  public void watch(long afterRevision, Consumer<CoordinationStore.Reply> done) {
    @Nullable Member watcher = watcher();
    logRole(watcher);
    if (watcher != null && !isSelf(watcher) && !inFallback(watcher)) {
      stopServing();
      coalesceMillis = 0;
      new MemberPoll(watcher, afterRevision, done).send();
    } else if (coalesceMillis == 0) {
      watchStore(afterRevision, done);
    } else {
      timers.after(coalesceMillis, () -> watchStore(afterRevision, done));
    }
  }

  private @Nullable Member watcher() {
    return delegate.choose(name -> false);
  }

  private boolean isSelf(@Nullable Member watcher) {
    return watcher != null && watcher.name().equals(self.name());
  }

  /** Returns whether this follower watches the store itself; asks whether the watcher is back. */
  private boolean inFallback(Member watcher) {
    if (fallback && !pinging && millisSince(fallbackBeganNanos) >= FALLBACK_MS) {
      pinging = true;
      messages.ping(
          watcher,
          answered -> {
            pinging = false;
            fallback = !answered;
            fallbackBeganNanos = clocks.steadyNanos();
          });
    }
    return fallback;
  }

  private long millisSince(long nanos) {
    return (clocks.steadyNanos() - nanos) / NANOS_PER_MILLI;
  }

  private long sharedWaitMillis() {
    return Math.max(1, applyMillis / 4);
  }

  private void watchStore(long afterRevision, Consumer<CoordinationStore.Reply> done) {
    if (isSelf(watcher())) {
      history.begin(afterRevision);
      historyContinues = true;
    } else {
      stopServing();
    }
    callInProgress = true;
    callBeganNanos = clocks.steadyNanos();
    long waitMillis = delegate.shared() ? sharedWaitMillis() : Math.max(1, applyMillis / 2);
    store.watch(
        StoreFollower.ALL_KEYS,
        afterRevision,
        waitMillis,
        reply -> {
          callInProgress = false;
          if (reply.done()) {
            coalesceMillis =
                millisSince(callBeganNanos) < BUSY_WATCH_MS
                    ? BUSY_COALESCE_DELAY_MS
                    : COALESCE_DELAY_MS;
            serve(reply);
          } else {
            coalesceMillis = 0;
            historyContinues = false;
            declineAll();
          }
          done.accept(reply);
        });
  }

  /** Adds events to the history and answers all polls that wait for one of them. */
  private void serve(CoordinationStore.Reply reply) {
    if (!historyContinues || reply.items().isEmpty()) {
      return;
    }
    history.add(reply.items(), reply.revision());
    for (WaitingPoll poll : List.copyOf(waiting)) {
      // Polls that are ahead of this host wait on; those behind its history are declined.
      boolean complete = history.completeAfter(poll.afterRevision);
      if (!complete || !history.after(poll.afterRevision).isEmpty()) {
        poll.answer();
      }
    }
  }

  private void stopServing() {
    historyContinues = false;
    history.clear();
    declineAll();
  }

  private void declineAll() {
    List.copyOf(waiting).forEach(WaitingPoll::decline);
  }

  /**
   * Answers the poll of a member that follows this host. The reply's status is {@link
   * CoordinationStore.Status#REFUSED} if the member has to watch the store itself.
   */
  public void poll(long afterRevision, long waitMillis, Consumer<CoordinationStore.Reply> done) {
    WaitingPoll poll = new WaitingPoll(afterRevision, done);
    if (!mayServe()) {
      poll.decline();
    } else if (!history.completeAfter(afterRevision) || !history.after(afterRevision).isEmpty()) {
      poll.answer();
    } else {
      poll.await(Math.min(waitMillis, sharedWaitMillis()));
    }
  }

  private boolean mayServe() {
    boolean overdue =
        callInProgress && millisSince(callBeganNanos) > sharedWaitMillis() + ANSWER_MARGIN_MS;
    return historyContinues && !overdue && !leaving && serving.getAsBoolean() && isSelf(watcher());
  }

  /** Declines all polls from now on, because this host is about to stop. */
  public void leave() {
    leaving = true;
    declineAll();
  }

  private void logRole(@Nullable Member watcher) {
    String role;
    if (watcher == null) {
      role = "this host watches for itself";
    } else {
      role = isSelf(watcher) ? "this host watches for its domain" : watcher.name() + " watches";
    }
    if (!role.equals(loggedRole)) {
      loggedRole = role;
      listener.changed("watch_role", self.domain(), role);
    }
  }

  /** Returns whether this host watches the store for its failure domain. */
  public boolean watchesForDomain() {
    return historyContinues && isSelf(watcher());
  }

  /** Returns the number of members' polls that wait for events. */
  public int pollsWaiting() {
    return waiting.size();
  }

  /** Returns the number of members' polls that were answered with events or at their wait's end. */
  public long pollsServed() {
    return pollsServed;
  }

  public long pollsDeclined() {
    return pollsDeclined;
  }

  /** Returns how often this host, as a follower, began to watch the store itself. */
  public long fallbacks() {
    return fallbacks;
  }

  /** A poll of a member that follows this host. */
  private final class WaitingPoll {
    private final long afterRevision;
    private final Consumer<CoordinationStore.Reply> done;
    private Timers.@Nullable Timer expiry;

    WaitingPoll(long afterRevision, Consumer<CoordinationStore.Reply> done) {
      this.afterRevision = afterRevision;
      this.done = done;
    }

    void await(long waitMillis) {
      waiting.add(this);
      expiry = timers.after(waitMillis, this::expire);
    }

    private void expire() {
      if (mayServe()) {
        answer();
      } else {
        decline();
      }
    }

    void answer() {
      if (!history.completeAfter(afterRevision)) {
        decline();
        return;
      }
      pollsServed++;
      end(CoordinationStore.Status.DONE, history.after(afterRevision), history.revision());
    }

    void decline() {
      pollsDeclined++;
      end(CoordinationStore.Status.REFUSED, List.of(), 0);
    }

    private void end(
        CoordinationStore.Status status, List<CoordinationStore.Item> items, long revision) {
      waiting.remove(this);
      if (expiry != null) {
        expiry.cancel();
      }
      done.accept(new CoordinationStore.Reply(status, items, revision, 0));
    }
  }

  /** This host's poll to the watcher, replaced by a watch of the store if it fails. */
  private final class MemberPoll {
    private final Member watcher;
    private final long afterRevision;
    private final Consumer<CoordinationStore.Reply> done;
    private boolean ended;

    MemberPoll(Member watcher, long afterRevision, Consumer<CoordinationStore.Reply> done) {
      this.watcher = watcher;
      this.afterRevision = afterRevision;
      this.done = done;
    }

    void send() {
      Timers.Timer timeout =
          timers.after(
              sharedWaitMillis() + ANSWER_MARGIN_MS,
              () ->
                  end(
                      new CoordinationStore.Reply(
                          CoordinationStore.Status.UNKNOWN, List.of(), 0, 0)));
      messages.watch(
          watcher,
          afterRevision,
          sharedWaitMillis(),
          reply -> {
            timeout.cancel();
            end(reply);
          });
    }

    private void end(CoordinationStore.Reply reply) {
      if (ended) {
        return;
      }
      ended = true;
      if (reply.done()) {
        done.accept(reply);
        return;
      }
      fallback = true;
      fallbackBeganNanos = clocks.steadyNanos();
      fallbacks++;
      listener.changed(
          "watch_fallback",
          watcher.name(),
          (reply.status() == CoordinationStore.Status.REFUSED ? "declined" : "no answer")
              + " after revision "
              + afterRevision
              + "; this host watches for "
              + FALLBACK_MS
              + " ms");
      watch(afterRevision, done);
    }
  }
}
