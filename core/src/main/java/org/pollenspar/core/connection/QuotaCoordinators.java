package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ClockReading;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.ControlListener;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.version.Organisation;
import org.pollenspar.core.version.Organisation.RateLimit;
import org.pollenspar.core.version.Organisations;
import org.pollenspar.core.version.RouteTable;

/**
 * The organisations whose rates this host coordinates, and the way of requests to the first
 * coordinator from hosts that can't reach it or have another list of members.
 *
 * <p>A request is passed on once at most, so lists of members that differ can't send it in circles.
 * A host whose confirmation doesn't hold may have been removed from the members without knowing, so
 * it declines all requests and forgets its budgets. The budgets are created when the configuration
 * or the members make this host a coordinator, not with the first request, since they start empty
 * and an organisation that has been idle may use its burst at once.
 */
public final class QuotaCoordinators implements QuotaService {
  private static final long HEARTBEAT_MS = 250;

  /**
   * Interval of heartbeats while this host grants nothing, or may soon have to grant less, until a
   * new or replaced coordinator has answered.
   */
  private static final long SHORT_HEARTBEAT_MS = 50;

  /**
   * Heartbeats stop if no request came for this time. After a pause, half of the burst isn't
   * available for one round trip, so the time is long against the gaps between requests.
   */
  private static final long IDLE_MS = 60_000;

  /** Time limit of a request that is passed on; the sender waits no longer either. */
  private static final long RELAY_TIMEOUT_MS = 150;

  /** Changes of members are gathered for this time, since many may arrive at once. */
  private static final long ASSIGNMENT_DELAY_MS = 50;

  private final String self;
  private final QuotaSelection selection;
  private final Supplier<RouteTable> routes;
  private final BooleanSupplier confirmed;
  private final QuotaMessages messages;
  private final Clocks clocks;
  private final Timers timers;
  private final ControlListener listener;
  private final Map<String, QuotaCoordinator> coordinators = new HashMap<>();
  private boolean assignmentScheduled;
  private boolean ticking;

  /**
   * Creates a host that coordinates nothing yet.
   *
   * @param routes configuration in force
   * @param confirmed whether this host's confirmation holds
   */
  public QuotaCoordinators(
      String self,
      QuotaSelection selection,
      Supplier<RouteTable> routes,
      BooleanSupplier confirmed,
      QuotaMessages messages,
      Clocks clocks,
      Timers timers,
      ControlListener listener) {
    this.self = self;
    this.selection = selection;
    this.routes = routes;
    this.confirmed = confirmed;
    this.messages = messages;
    this.clocks = clocks;
    this.timers = timers;
    this.listener = listener;
  }

  /** Applies changed members a little later. */
  public void membersChanged() {
    if (!assignmentScheduled) {
      assignmentScheduled = true;
      timers.after(
          ASSIGNMENT_DELAY_MS,
          () -> {
            assignmentScheduled = false;
            selection.membersChanged();
            assign();
          });
    }
  }

  /** Applies a changed configuration, or changed members, now. */
  public void assign() {
    @Nullable Organisations organisations = routes.get().organisations();
    Set<String> names = new HashSet<>();
    if (organisations != null) {
      tickLater();
    }
    if (organisations != null && confirmed.getAsBoolean()) {
      for (Organisation each : organisations.all()) {
        @Nullable RateLimit limit = each.limit();
        if (limit != null) {
          names.add(each.name());
          coordinator(each.name(), limit, routes.get().version());
        }
      }
    }
    for (String name : Set.copyOf(coordinators.keySet())) {
      @Nullable QuotaCoordinator known = coordinators.get(name);
      boolean ofLaterVersion = known != null && known.version() > routes.get().version();
      if ((!names.contains(name) && !ofLaterVersion) || assignRole(name, known) == null) {
        coordinators.remove(name);
        listener.changed("quota_coordinator", name, "no longer");
      }
    }
  }

  /** Returns the coordinator on this host, created if needed; null if this host is none. */
  private @Nullable QuotaCoordinator coordinator(
      String organisation, RateLimit limit, long version) {
    @Nullable QuotaCoordinator known = coordinators.get(organisation);
    if (known == null) {
      QuotaCoordinator created =
          new QuotaCoordinator(organisation, limit, version, clocks, listener);
      known = assignRole(organisation, created);
      if (known == null) {
        return null;
      }
      coordinators.put(organisation, known);
      tickLater();
    }
    known.limit(limit, version);
    return known;
  }

  /** Tells a coordinator its role; returns null if this host is none. */
  private @Nullable QuotaCoordinator assignRole(
      String organisation, @Nullable QuotaCoordinator coordinator) {
    QuotaSelection.Coordinators chosen = selection.of(organisation);
    @Nullable String first = name(chosen.first());
    @Nullable String second = name(chosen.second());
    if (coordinator == null || !(self.equals(first) || self.equals(second))) {
      return null;
    }
    boolean isFirst = self.equals(first);
    coordinator.assign(
        isFirst ? QuotaCoordinator.Role.FIRST : QuotaCoordinator.Role.SECOND,
        isFirst ? second : first,
        chosen.suspendedBefore(),
        member -> selection.member(member) != null);
    return coordinator;
  }

  private static @Nullable String name(@Nullable Member member) {
    return member == null ? null : member.name();
  }

  @Override
  public void ask(QuotaRequest request, Consumer<QuotaDecision> done) {
    if (!confirmed.getAsBoolean()) {
      done.accept(QuotaDecision.DECLINED);
      return;
    }
    RouteTable table = routes.get();
    boolean senderAhead = request.version() > table.version();
    @Nullable RateLimit limit =
        senderAhead ? request.limit() : limit(table, request.organisation());
    if (limit == null) {
      // This host has a later version, which has no limit for the organisation.
      done.accept(QuotaDecision.GRANTED);
      return;
    }
    @Nullable QuotaCoordinator coordinator =
        coordinator(
            request.organisation(), limit, senderAhead ? request.version() : table.version());
    if (coordinator == null) {
      relay(request, done);
      return;
    }
    switch (coordinator.asked()) {
      case FULL, HALF -> done.accept(coordinator.decide());
      case FOLLOWING -> relay(request, done);
      default -> done.accept(QuotaDecision.DECLINED);
    }
  }

  /** Returns the limit of an organisation; null if there is none. */
  static @Nullable RateLimit limit(RouteTable table, String organisation) {
    @Nullable Organisations organisations = table.organisations();
    @Nullable Organisation known = organisations == null ? null : organisations.named(organisation);
    return known == null ? null : known.limit();
  }

  private @Nullable Member firstElsewhere(String organisation, boolean relayed) {
    @Nullable Member first = selection.of(organisation).first();
    return relayed || first == null || first.name().equals(self) ? null : first;
  }

  private void relay(QuotaRequest request, Consumer<QuotaDecision> done) {
    @Nullable Member first = firstElsewhere(request.organisation(), request.relayed());
    if (first == null) {
      done.accept(QuotaDecision.DECLINED);
    } else {
      new RelayedRequest(first, request, done).send();
    }
  }

  @Override
  public void giveBack(String organisation, boolean relayed) {
    @Nullable QuotaCoordinator coordinator = coordinators.get(organisation);
    if (coordinator != null && coordinator.giveBack()) {
      return;
    }
    @Nullable Member first = firstElsewhere(organisation, relayed);
    if (first != null) {
      messages.giveBack(first, organisation, true);
    }
  }

  @Override
  public void heartbeat(
      String organisation, String sender, long sharedMillis, Consumer<QuotaAcknowledgement> done) {
    @Nullable QuotaCoordinator known = coordinators.get(organisation);
    boolean follows;
    if (!confirmed.getAsBoolean()) {
      follows = false;
    } else if (known != null) {
      follows = known.follow(sender, sharedMillis);
    } else {
      // A host that doesn't know of the limit yet grants nothing by itself.
      QuotaSelection.Coordinators chosen = selection.of(organisation);
      follows = self.equals(name(chosen.second())) && sender.equals(name(chosen.first()));
    }
    done.accept(
        known == null
            ? new QuotaAcknowledgement(follows, true, QuotaAcknowledgement.NO_EPOCH)
            : new QuotaAcknowledgement(follows, known.sharedMillis() == 0, known.epoch()));
  }

  private void tickLater() {
    if (!ticking) {
      ticking = true;
      timers.after(0, this::tick);
    }
  }

  private void tick() {
    if (!confirmed.getAsBoolean() && !coordinators.isEmpty()) {
      coordinators.clear();
      listener.changed("quota_coordinator", "all", "none, since this host isn't confirmed");
    } else if (coordinators.isEmpty()) {
      assign();
    }
    coordinators.forEach(this::sendHeartbeat);
    coordinators.forEach(this::askFormer);
    boolean soon = coordinators.values().stream().anyMatch(QuotaCoordinator::awaitsAnswers);
    timers.after(soon ? SHORT_HEARTBEAT_MS : HEARTBEAT_MS, this::tick);
  }

  /** Asks replaced coordinators whether they know that they are; see {@link FormerCoordinators}. */
  private void askFormer(String organisation, QuotaCoordinator coordinator) {
    for (String name : coordinator.formerCoordinators()) {
      @Nullable Member member = selection.member(name);
      if (member != null) {
        ClockReading sentAt = ClockReading.now(clocks);
        messages.heartbeat(
            member,
            organisation,
            self,
            coordinator.sharedMillis(),
            answer -> {
              if (answer != null) {
                coordinator.formerAnswered(name, sentAt, answer);
              }
            });
      }
    }
  }

  private void sendHeartbeat(String organisation, QuotaCoordinator coordinator) {
    @Nullable Member second = selection.of(organisation).second();
    if (second == null || !coordinator.sendsHeartbeats(IDLE_MS)) {
      return;
    }
    ClockReading sentAt = ClockReading.now(clocks);
    messages.heartbeat(
        second,
        organisation,
        self,
        coordinator.sharedMillis(),
        answer -> {
          if (answer != null && answer.follows()) {
            coordinator.acknowledged(second.name(), sentAt, answer);
          }
        });
  }

  /** Returns the number of organisations of which this host is the first coordinator. */
  public long firstOf() {
    return count(QuotaCoordinator.Role.FIRST);
  }

  /** Returns the number of organisations of which this host is the second coordinator. */
  public long secondOf() {
    return count(QuotaCoordinator.Role.SECOND);
  }

  private long count(QuotaCoordinator.Role role) {
    return coordinators.values().stream().filter(each -> each.role() == role).count();
  }

  /** A request that this host has passed on to the first coordinator. */
  private final class RelayedRequest {
    private final Member first;
    private final QuotaRequest request;
    private final Consumer<QuotaDecision> done;
    private Timers.@Nullable Timer timeout;
    private boolean ended;

    RelayedRequest(Member first, QuotaRequest request, Consumer<QuotaDecision> done) {
      this.first = first;
      this.request = request;
      this.done = done;
    }

    void send() {
      timeout = timers.after(RELAY_TIMEOUT_MS, () -> end(QuotaDecision.DECLINED));
      messages.ask(first, request.asRelayed(), this::answered);
    }

    private void answered(@Nullable QuotaDecision decision) {
      if (ended && decision != null && decision.kind() == QuotaDecision.Kind.GRANTED) {
        messages.giveBack(first, request.organisation(), true);
      } else {
        end(decision == null ? QuotaDecision.DECLINED : decision);
      }
    }

    private void end(QuotaDecision decision) {
      if (!ended) {
        ended = true;
        if (timeout != null) {
          timeout.cancel();
        }
        done.accept(decision);
      }
    }
  }
}
