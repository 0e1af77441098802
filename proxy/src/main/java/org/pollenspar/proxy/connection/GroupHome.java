package org.pollenspar.proxy.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.pollenspar.core.connection.Primary;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.Access;
import org.pollenspar.core.request.Admission;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.Rank;
import org.pollenspar.core.request.RouteDecision;
import org.pollenspar.core.request.RouteView;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.core.request.WriteEvent;
import org.pollenspar.core.request.WriteProgress;
import org.pollenspar.core.version.GroupSpec;

/**
 * The home of one group on this proxy: admits requests, starts them when a connection is free, and
 * answers them. Driven by the control thread; connections report their results to it.
 */
public final class GroupHome {
  /** Requests that are passed over for a database without a free connection in one pass. */
  private static final int MAX_PASSED_OVER = 8;

  /** Parked requests are looked at again at most this often, and on each tick. */
  private static final long ROUTE_INTERVAL_NANOS = 1_000_000L;

  private final HomeContext context;
  private final GroupDatabases databases;
  private final HomeQueues queues;
  private final ExecutionState work;
  private final ReadExecutor reads;
  private final WriteExecutor writes;
  private boolean dispatchPending;
  private boolean retiring;
  private boolean closed;
  private long routedNanos;

  /** Creates the home; {@link #update} names the databases. */
  public GroupHome(HomeContext context, GroupSpec group, Collection<Rank> ranks) {
    this.context = context;
    AnswerChecker exchange = context.exchange();
    this.databases = new GroupDatabases(context, exchange, group, this::dispatchSoon);
    this.queues = new HomeQueues(context.policy(), ranks);
    this.work = new ExecutionState(context, databases, queues);
    this.reads = new ReadExecutor(work, new ReadStep(exchange), this::route);
    this.writes =
        new WriteExecutor(work, new WriteSteps(exchange, context.invariants(), context.wallMillis()));
    this.routedNanos = context.control().nowNanos();
  }

  /** Takes a new declaration of the group, new ranks or new addresses. */
  public void update(
      GroupSpec group, Collection<Rank> ranks, Collection<DatabaseAddress> addresses, int share) {
    databases.update(group, addresses, share);
    queues.update(ranks);
    dispatchSoon();
  }

  /**
   * Submits a request.
   *
   * @return the outcome; empty if this home hands the request back and has started nothing of it
   */
  public CompletableFuture<Optional<Outcome>> submit(WorkRequest request) {
    CompletableFuture<Optional<Outcome>> answer = new CompletableFuture<>();
    boolean write = request.kind().access() == Access.WRITE;
    PendingRequest ticket =
        new PendingRequest(request, answer, write ? new WriteProgress(request, work.budget()) : null);
    if (retiring || closed) {
      ticket.handBack();
    } else if (write) {
      admit(HomeQueues.Destination.PRIMARY, ticket);
    } else {
      route(ticket);
    }
    dispatchSoon();
    return answer;
  }

  private void admit(HomeQueues.Destination lane, PendingRequest ticket) {
    Admission admission = queues.offer(lane, ticket, work.now());
    if (admission instanceof Admission.Refused refused) {
      PollensparError error =
          refused.kind() == ErrorKind.DEADLINE_UNREACHABLE
              ? PollensparError.of(refused.kind(), refused.expectedWaitMillis())
              : work.error(refused.kind(), ticket);
      refuse(ticket, error, refused.retryAfterMillis());
    }
  }

  private void refuse(PendingRequest ticket, PollensparError error, long retryAfterMillis) {
    if (ticket.write()) {
      writes.on(ticket, new WriteEvent.Refused(error, retryAfterMillis));
    } else {
      work.refuse(ticket, error, retryAfterMillis);
    }
  }

  /** Finds the queue for a read, or keeps it until the next probe answer. */
  private void route(PendingRequest ticket) {
    route(ticket, databases.view());
  }

  private void route(PendingRequest ticket, RouteView view) {
    RouteDecision decision = choose(ticket, view);
    if (decision instanceof RouteDecision.Use use) {
      admit(lane(use), ticket);
    } else if (decision instanceof RouteDecision.Refuse refuse) {
      refuse(ticket, work.error(refuse.kind(), ticket), work.retryAfterMillis());
    } else {
      park(ticket);
    }
  }

  private RouteDecision choose(PendingRequest ticket, RouteView view) {
    return context
        .policy()
        .router(ticket.request())
        .choose(ticket.need(), databases.tracker(), view, work.now());
  }

  private static HomeQueues.Destination lane(RouteDecision.Use use) {
    return switch (use.role()) {
      case PRIMARY -> HomeQueues.Destination.PRIMARY;
      case REPLICA -> HomeQueues.Destination.REPLICAS;
    };
  }

  private void park(PendingRequest ticket) {
    databases.probeEagerly();
    queues
        .park(ticket)
        .ifPresent(kind -> refuse(ticket, work.error(kind, ticket), work.retryAfterMillis()));
  }

  /** Runs one pass on the control thread after the current event, however many ask for it. */
  private void dispatchSoon() {
    if (!dispatchPending && !closed) {
      dispatchPending = true;
      context.control().execute(this::dispatch);
    }
  }

  private void dispatch() {
    dispatchPending = false;
    if (closed) {
      return;
    }
    List<PendingRequest> active = work.active();
    active.forEach(writes::settle);
    writes.supersede(active);
    if (work.now() - routedNanos >= ROUTE_INTERVAL_NANOS) {
      routeParked();
    }
    dispatchPrimary();
    dispatchReplicas();
    growPools();
  }

  private void routeParked() {
    routedNanos = work.now();
    RouteView view = databases.view();
    for (PendingRequest ticket : queues.takeParked()) {
      if (!ticket.write()) {
        route(ticket, view);
      } else if (startable(ticket)) {
        queues.putBack(HomeQueues.Destination.PRIMARY, ticket, work.now());
      } else {
        queues.park(ticket);
      }
    }
  }

  private boolean startable(PendingRequest write) {
    return !write.pausing(work.now())
        && databases.tracker().primary().stream()
            .anyMatch(primary -> primary.term() >= write.minimumTerm());
  }

  private void dispatchPrimary() {
    Optional<ConnectionPool> pool = databases.primaryPool();
    while (pool.isPresent() && pool.get().ready()) {
      Optional<PendingRequest> next = queues.poll(HomeQueues.Destination.PRIMARY, work.now());
      if (next.isEmpty()) {
        return;
      }
      startOnPrimary(next.get(), pool.get());
    }
  }

  private void startOnPrimary(PendingRequest ticket, ConnectionPool pool) {
    Primary primary = databases.tracker().primary().orElseThrow();
    if (ticket.write() && primary.term() < ticket.minimumTerm()) {
      queues.park(ticket);
      return;
    }
    Optional<PendingRequest.HeldConnection> slot =
        databases.checkout(pool, HomeQueues.Destination.PRIMARY, ticket.request().requestId());
    if (slot.isEmpty()) {
      queues.park(ticket);
    } else if (ticket.write()) {
      writes.start(ticket, slot.get(), primary);
    } else {
      reads.start(ticket, slot.get());
    }
  }

  private void dispatchReplicas() {
    List<PendingRequest> passedOver = new ArrayList<>();
    while (passedOver.size() < MAX_PASSED_OVER && replicaReady()) {
      Optional<PendingRequest> next = queues.poll(HomeQueues.Destination.REPLICAS, work.now());
      if (next.isEmpty()) {
        break;
      }
      if (!startOnReplica(next.get())) {
        passedOver.add(next.get());
      }
    }
    for (int i = passedOver.size() - 1; i >= 0; i--) {
      queues.putBack(HomeQueues.Destination.REPLICAS, passedOver.get(i), work.now());
    }
  }

  private boolean replicaReady() {
    return databases.replicaPools().stream().anyMatch(ConnectionPool::ready);
  }

  /** Returns false if the database that suits the read has no free connection. */
  private boolean startOnReplica(PendingRequest ticket) {
    RouteDecision decision = choose(ticket, databases.view());
    if (!(decision instanceof RouteDecision.Use use) || lane(use) != HomeQueues.Destination.REPLICAS) {
      route(ticket);
      return true;
    }
    Optional<PendingRequest.HeldConnection> slot =
        databases
            .pool(use.databaseId())
            .filter(ConnectionPool::ready)
            .flatMap(
                pool ->
                    databases.checkout(
                        pool, HomeQueues.Destination.REPLICAS, ticket.request().requestId()));
    slot.ifPresent(taken -> reads.start(ticket, taken));
    return slot.isPresent();
  }

  private void growPools() {
    int wantedAtPrimary = 1 + queues.length(HomeQueues.Destination.PRIMARY);
    databases.primaryPool().ifPresent(pool -> pool.grow(wantedAtPrimary));
    int wantedAtReplicas = 1 + queues.length(HomeQueues.Destination.REPLICAS);
    databases.replicaPools().forEach(pool -> pool.grow(wantedAtReplicas));
  }

  /** Does what depends on time alone: deadlines, parked requests, unused connections. */
  public void tick() {
    if (closed) {
      return;
    }
    long now = work.now();
    queues.expire(now).forEach(this::deadlinePassed);
    for (PendingRequest ticket : work.active()) {
      if (ticket.expired(now)) {
        deadlinePassed(ticket);
      }
    }
    queues.concurrency(
        HomeQueues.Destination.PRIMARY, databases.primaryPool().map(ConnectionPool::limit).orElse(1));
    queues.concurrency(
        HomeQueues.Destination.REPLICAS,
        databases.replicaPools().stream().mapToInt(ConnectionPool::limit).sum());
    databases.pools().forEach(ConnectionPool::closeUnused);
    routedNanos = now - ROUTE_INTERVAL_NANOS;
    dispatch();
  }

  private void deadlinePassed(PendingRequest ticket) {
    if (ticket.write()) {
      writes.deadlinePassed(ticket);
    } else if (ticket.slot().isPresent()) {
      reads.deadlinePassed(ticket);
    } else {
      boolean leaderless = databases.primaryPool().isEmpty();
      ErrorKind kind = leaderless ? ErrorKind.NO_FRESH_DATABASE : ErrorKind.DEADLINE_EXPIRED;
      work.refuse(ticket, work.error(kind, ticket), work.retryAfterMillis());
    }
  }

  /** Takes no more requests and hands back those that have not started. */
  public void retire() {
    retiring = true;
    queues.takeUnstarted(work.now()).forEach(PendingRequest::handBack);
  }

  /** Takes requests again after {@link #retire}. */
  public void resume() {
    retiring = false;
  }

  /** Returns the number of requests that have started and are not answered. */
  public int running() {
    return work.activeCount() + queues.length();
  }

  /** Returns how many requests wait. */
  public int queueLength() {
    return queues.length();
  }

  /** Returns the view for status and reports. */
  public HomeReport report() {
    return HomeReport.of(databases, queues, work);
  }

  /** Closes all connections; whoever still waits is told that the home is gone. */
  public void close() {
    closed = true;
    queues.takeUnstarted(work.now()).forEach(PendingRequest::handBack);
    List<PendingRequest> cut = new ArrayList<>(work.active());
    cut.addAll(queues.takeParked());
    cut.forEach(this::cutOff);
    databases.close();
  }

  private void cutOff(PendingRequest ticket) {
    PollensparError error = PollensparError.of(ErrorKind.DRAINING);
    if (ticket.write()) {
      writes.on(ticket, new WriteEvent.Refused(error, work.retryAfterMillis()));
    } else {
      work.refuse(ticket, error, work.retryAfterMillis());
    }
  }
}
