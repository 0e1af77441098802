package org.pollenspar.core.connection;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Avoidance;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Regions;
import org.pollenspar.core.process.Regions.Distance;
import org.pollenspar.core.process.Rendezvous;
import org.pollenspar.core.process.Timers;

/**
 * Requests permits from the broker of a database. The broker runs on one of the members, which all
 * hosts choose alike by rendezvous hashing, with several regions among those of the database's.
 *
 * <p>A broker that doesn't answer in time is suspected and skipped for a while, and the next member
 * by hash takes its place. Until all hosts agree on the broker, two brokers may each grant permits
 * up to their limit. That lengthens the queue of the database but does no other harm, since nothing
 * but the order of statements depends on permits.
 */
public final class BrokerClient implements SlotPermits {
  /** Timeout of the first answer, which a broker gives at once: granted, queued or refused. */
  private static final long FIRST_ANSWER_TIMEOUT_MS = 150;

  /** How long a broker that didn't answer is skipped. */
  private static final long SUSPICION_MS = 5_000;

  private final String self;
  private final String ownDomain;
  private final Regions regions;
  private final Supplier<Collection<Member>> members;
  private final SlotBrokers local;
  private final BrokerMessages messages;
  private final Timers timers;
  private final Map<SlotPermitRequest, LongConsumer> releaseActions = new HashMap<>();
  private final Avoidance suspected;
  private final Map<String, Member> brokerByDatabase = new HashMap<>();

  /** Creates a client of the brokers of all hosts, including those of this host, in one region. */
  public BrokerClient(
      String self,
      Supplier<Collection<Member>> members,
      SlotBrokers local,
      BrokerMessages messages,
      Clocks clocks,
      Timers timers) {
    this(self, "", Regions.ONE, members, local, messages, clocks, timers);
  }

  /**
   * Creates a client of the brokers of all hosts, including those of this host.
   *
   * @param ownDomain failure domain of this host
   */
  public BrokerClient(
      String self,
      String ownDomain,
      Regions regions,
      Supplier<Collection<Member>> members,
      SlotBrokers local,
      BrokerMessages messages,
      Clocks clocks,
      Timers timers) {
    this.self = self;
    this.ownDomain = ownDomain;
    this.regions = regions;
    this.members = members;
    this.local = local;
    this.messages = messages;
    this.suspected = new Avoidance(clocks, SUSPICION_MS);
    this.timers = timers;
  }

  /** Discards the chosen brokers, because the members changed. */
  public void membersChanged() {
    brokerByDatabase.clear();
  }

  @Override
  public void ask(DatabaseEntry database, SlotPermitRequest permitRequest) {
    @Nullable Member broker = broker(database);
    if (broker == null) {
      permitRequest.brokerUnavailable();
    } else if (broker.name().equals(self)) {
      releaseActions.put(
          permitRequest, delayMillis -> local.end(database.id(), permitRequest, delayMillis));
      local.ask(database.id(), database.capacity(), permitRequest);
    } else {
      new RemotePermitRequest(broker, permitRequest).send(database);
    }
  }

  @Override
  public void end(DatabaseEntry database, SlotPermitRequest permitRequest, long delayMillis) {
    @Nullable LongConsumer releaseAction = releaseActions.remove(permitRequest);
    if (releaseAction != null) {
      releaseAction.accept(delayMillis);
    }
  }

  private @Nullable Member broker(DatabaseEntry database) {
    @Nullable Member known = brokerByDatabase.get(database.id());
    if (known != null) {
      return known;
    }
    Map<String, Member> candidates = new HashMap<>();
    for (Member member : members.get()) {
      if (!member.suspended() && !suspected.contains(member.name())) {
        candidates.put(member.name(), member);
      }
    }
    Set<String> names = near(database, candidates);
    @Nullable String name = Rendezvous.first(database.id(), List.copyOf(names));
    @Nullable Member broker = name == null ? null : candidates.get(name);
    if (broker != null) {
      brokerByDatabase.put(database.id(), broker);
    }
    return broker;
  }

  /**
   * Returns the candidates in the region of the database, all if there are none. Most statements
   * come from there, and all hosts must choose the same broker wherever they are.
   */
  private Set<String> near(DatabaseEntry database, Map<String, Member> candidates) {
    Set<String> near = new HashSet<>();
    candidates.forEach(
        (name, member) -> {
          if (regions.distance(member.domain(), database.domain()) != Distance.OTHER_REGION) {
            near.add(name);
          }
        });
    return near.isEmpty() ? candidates.keySet() : near;
  }

  @Override
  public long immediateGrantMillis(DatabaseEntry database) {
    @Nullable Member broker = broker(database);
    return SlotPermits.super.immediateGrantMillis(database)
        + (broker == null ? 0 : additionalMillis(broker));
  }

  /** Returns the time that an answer of a broker in another region may take in addition. */
  private long additionalMillis(Member broker) {
    boolean far = regions.distance(broker.domain(), ownDomain) == Distance.OTHER_REGION;
    return far ? Regions.MAX_ROUND_TRIP_MS : 0;
  }

  private void suspect(Member broker) {
    suspected.add(broker.name());
    brokerByDatabase.clear();
    timers.after(SUSPICION_MS, brokerByDatabase::clear);
  }

  /** A permit request that was sent to the broker of another host. */
  private final class RemotePermitRequest implements SlotPermitRequest {
    private final Member broker;
    private final SlotPermitRequest permitRequest;
    private Timers.@Nullable Timer timeout;
    private @Nullable LongConsumer releaseRemote;
    private boolean decided;

    RemotePermitRequest(Member broker, SlotPermitRequest permitRequest) {
      this.broker = broker;
      this.permitRequest = permitRequest;
    }

    void send(DatabaseEntry database) {
      releaseActions.put(permitRequest, this::end);
      timeout = timers.after(FIRST_ANSWER_TIMEOUT_MS + additionalMillis(broker), this::timedOut);
      releaseRemote = messages.ask(broker, database, this);
    }

    private void end(long delayMillis) {
      decided = true;
      stopTimer();
      if (releaseRemote != null) {
        releaseRemote.accept(delayMillis);
      }
    }

    private void stopTimer() {
      if (timeout != null) {
        timeout.cancel();
      }
    }

    private void timedOut() {
      if (!decided && releaseRemote != null) {
        releaseRemote.accept(0);
      }
      brokerUnavailable();
    }

    @Override
    public int priority() {
      return permitRequest.priority();
    }

    @Override
    public long maxWaitMillis() {
      return permitRequest.maxWaitMillis();
    }

    @Override
    public void queued() {
      if (!decided) {
        stopTimer();
        timeout =
            timers.after(
                maxWaitMillis() + FIRST_ANSWER_TIMEOUT_MS + additionalMillis(broker),
                this::timedOut);
        permitRequest.queued();
      }
    }

    @Override
    public void granted() {
      if (!decided) {
        decided = true;
        stopTimer();
        permitRequest.granted();
      }
    }

    @Override
    public void refused(long retryAfterMillis) {
      if (!decided) {
        decided = true;
        stopTimer();
        releaseActions.remove(permitRequest);
        permitRequest.refused(retryAfterMillis);
      }
    }

    @Override
    public void brokerUnavailable() {
      if (!decided) {
        decided = true;
        stopTimer();
        releaseActions.remove(permitRequest);
        suspect(broker);
        permitRequest.brokerUnavailable();
      }
    }
  }
}
