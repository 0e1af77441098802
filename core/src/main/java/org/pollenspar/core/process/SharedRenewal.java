package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Renews the shared lease for this host together with the other hosts of its failure domain, so
 * that the calls to the store grow with the number of domains and not with that of hosts.
 *
 * <p>In a domain with enough members, one of them, chosen by {@link Rendezvous} hashing, renews for
 * all. It sends one renewal for all requests that it has gathered, and keeps a distance between its
 * renewals. Hosts whose requests are answered together send the next ones together, so that one
 * renewal for each interval of the hosts remains.
 *
 * <p>Invariant: a request is answered positively only after a renewal that was sent to the store
 * after the request had arrived. So a positive answer proves the same as a renewal by the
 * requesting host itself: the lease existed at some time after the host sent its request.
 *
 * <p>Any other answer proves nothing, and so does silence. The host then renews itself, and chooses
 * another member for a while. Not thread-safe: all calls come from the thread that runs the {@link
 * Timers}.
 */
public final class SharedRenewal {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Least time for which requests are gathered for one renewal. */
  private static final long GATHERING_MS = 150;

  /** Least distance between two renewals for other members. */
  private static final long DISTANCE_MS = 1_000;

  /** Wait for the answer of the renewing member before this host renews itself. */
  private static final long ANSWER_TIMEOUT_MS = 1_500;

  /** How long a member that gave no positive answer isn't asked again. */
  private static final long AVOIDANCE_MS = 5_000;

  private final CoordinationStore store;
  private final DomainDelegate delegate;
  private final FleetMessages messages;
  private final Timers timers;
  private final Clocks clocks;
  private final Member self;
  private final Map<Long, List<Consumer<CoordinationStore.Reply>>> gathered = new HashMap<>();
  private final Avoidance avoided;
  private long lastRenewalNanos;
  private boolean renewedBefore;

  /**
   * Creates a renewal.
   *
   * @param minMembers members of a failure domain from which on one of them renews for all
   */
  public SharedRenewal(
      CoordinationStore store,
      FleetTable table,
      FleetMessages messages,
      Timers timers,
      Clocks clocks,
      Member self,
      int minMembers) {
    this.store = store;
    this.delegate = new DomainDelegate(table, self, minMembers, "renewal");
    this.messages = messages;
    this.timers = timers;
    this.clocks = clocks;
    this.self = self;
    this.avoided = new Avoidance(clocks, AVOIDANCE_MS);
  }

  /**
   * Renews the lease; the reply is that of {@link CoordinationStore#renewLease}.
   *
   * @param urgent whether the host can't wait for other members, and renews itself
   */
  public void renew(long lease, boolean urgent, Consumer<CoordinationStore.Reply> done) {
    @Nullable Member renewing = urgent ? null : delegate.choose(avoided::contains);
    if (renewing == null) {
      store.renewLease(lease, done);
    } else if (renewing.name().equals(self.name())) {
      gather(lease, done);
    } else {
      new Request(renewing, lease, done).send();
    }
  }

  /** Renews the lease for another member; passes whether it was renewed after this call. */
  public void renewForMember(long lease, Consumer<Boolean> done) {
    gather(lease, reply -> done.accept(reply.done()));
  }

  private void gather(long lease, Consumer<CoordinationStore.Reply> done) {
    @Nullable List<Consumer<CoordinationStore.Reply>> waiting = gathered.get(lease);
    if (waiting != null) {
      waiting.add(done);
      return;
    }
    gathered.put(lease, new ArrayList<>(List.of(done)));
    timers.after(
        gatheringMillis(),
        () -> {
          renewedBefore = true;
          lastRenewalNanos = clocks.steadyNanos();
          // Requests that arrive from now on need a renewal that is sent later.
          @Nullable List<Consumer<CoordinationStore.Reply>> all = gathered.remove(lease);
          if (all != null) {
            store.renewLease(lease, reply -> all.forEach(each -> each.accept(reply)));
          }
        });
  }

  private long gatheringMillis() {
    long sinceLast = (clocks.steadyNanos() - lastRenewalNanos) / NANOS_PER_MILLI;
    return renewedBefore ? Math.max(GATHERING_MS, DISTANCE_MS - sinceLast) : GATHERING_MS;
  }

  /** A request to another member, which this host replaces by a renewal of its own if it fails. */
  private final class Request {
    private final Member member;
    private final long lease;
    private final Consumer<CoordinationStore.Reply> done;
    private boolean ended;

    Request(Member member, long lease, Consumer<CoordinationStore.Reply> done) {
      this.member = member;
      this.lease = lease;
      this.done = done;
    }

    void send() {
      Timers.Timer timeout = timers.after(ANSWER_TIMEOUT_MS, () -> answered(false));
      messages.renew(
          member,
          lease,
          renewed -> {
            timeout.cancel();
            answered(renewed);
          });
    }

    private void answered(boolean renewed) {
      if (ended) {
        return;
      }
      ended = true;
      if (renewed) {
        done.accept(
            new CoordinationStore.Reply(CoordinationStore.Status.DONE, List.of(), 0, lease));
      } else {
        avoided.add(member.name());
        store.renewLease(lease, done);
      }
    }
  }
}
