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
import org.pollenspar.core.request.RoutingContext;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.core.request.WriteEvent;
import org.pollenspar.core.request.WriteStateMachine;
import org.pollenspar.core.version.GroupSpec;

/**
 * The home of one group on this proxy: admits requests, starts them when a connection is free, and
 * answers them.
 *
 * <p>A write is queued for the primary. A read is routed first: the router names a database, and
 * the read is queued for the primary or for the replicas; if no database is known to be fresh
 * enough, the read is parked until a probe changes that. A queued request starts when a database
 * has a free connection. A read that is taken from the replica queue is routed again, because the
 * state of the databases may have changed while it waited.
 *
 * <p>Every event that may let a request proceed (a probe answer, an idle connection, an arrival)
 * schedules a dispatch pass, which starts as many requests as it can. Deadlines are checked by
 * {@link #tick}.
 *
 * <p>All state belongs to the control thread and all methods run on it. Connections and probers do
 * their I/O on threads of their own and report results as tasks of the control thread.
 */
public final class GroupHome {
  /**
   * Bounds the reads that one pass takes from the replica queue without starting them, because the
   * database chosen for them has no free connection. They return to the front of the queue.
   */
  private static final int MAX_PASSED_OVER = 8;

  /** Minimum time between two attempts to route the parked requests; a tick ignores it. */
  private static final long ROUTE_INTERVAL_NANOS = 1_000_000L;

  private final HomeContext context;
  private final GroupDatabases databases;
  private final HomeQueues queues;
  private final ExecutionState execution;
  private final ReadExecutor reads;
  private final WriteExecutor writes;
  private boolean dispatchPending;
  private boolean retiring;
  private boolean closed;
  private long routedNanos;

  /** Creates a home without databases; {@link #update} provides them. */
  public GroupHome(HomeContext context, GroupSpec group, Collection<Rank> ranks) {
    this.context = context;
    AnswerChecker checker = context.answerChecker();
    this.databases = new GroupDatabases(context, checker, group, this::dispatchSoon);
    this.queues = new HomeQueues(context.policy(), ranks);
    this.execution = new ExecutionState(context, databases, queues);
    this.reads = new ReadExecutor(execution, new ReadStep(checker), this::route);
    this.writes =
        new WriteExecutor(
            execution, new WriteSteps(checker, context.invariants(), context.wallMillis()));
    this.routedNanos = context.control().nowNanos();
  }

  /**
   * Applies a new declaration of the group, new ranks or new addresses.
   *
   * @param share connections that this home may hold to each database
   */
  public void update(
      GroupSpec group, Collection<Rank> ranks, Collection<DatabaseAddress> addresses, int share) {
    databases.update(group, addresses, share);
    queues.update(ranks);
    dispatchSoon();
  }

  /**
   * Submits a request.
   *
   * @return the outcome; empty if this home returns the request without having started it
   */
  public CompletableFuture<Optional<Outcome>> submit(WorkRequest request) {
    CompletableFuture<Optional<Outcome>> answer = new CompletableFuture<>();
    boolean write = request.kind().access() == Access.WRITE;
    PendingRequest pending =
        new PendingRequest(
            request, answer, write ? new WriteStateMachine(request, execution.budget()) : null);
    if (retiring || closed) {
      pending.returnUnstarted();
    } else if (write) {
      admit(HomeQueues.Destination.PRIMARY, pending);
    } else {
      route(pending);
    }
    dispatchSoon();
    return answer;
  }

  private void admit(HomeQueues.Destination destination, PendingRequest pending) {
    Admission admission = queues.offer(destination, pending, execution.now());
    if (admission instanceof Admission.Refused refused) {
      PollensparError error =
          refused.kind() == ErrorKind.DEADLINE_UNREACHABLE
              ? PollensparError.of(refused.kind(), refused.expectedWaitMillis())
              : execution.error(refused.kind(), pending);
      refuse(pending, error, refused.retryAfterMillis());
    }
  }

  private void refuse(PendingRequest pending, PollensparError error, long retryAfterMillis) {
    if (pending.write()) {
      writes.handle(pending, new WriteEvent.Refused(error, retryAfterMillis));
    } else {
      execution.refuse(pending, error, retryAfterMillis);
    }
  }

  /** Queues a read for the database that the router chooses, or parks or refuses it. */
  private void route(PendingRequest pending) {
    route(pending, databases.routing());
  }

  private void route(PendingRequest pending, RoutingContext routing) {
    RouteDecision decision = choose(pending, routing);
    if (decision instanceof RouteDecision.Use use) {
      admit(destination(use), pending);
    } else if (decision instanceof RouteDecision.Refuse refuse) {
      refuse(pending, execution.error(refuse.kind(), pending), execution.retryAfterMillis());
    } else {
      park(pending);
    }
  }

  private RouteDecision choose(PendingRequest pending, RoutingContext routing) {
    return context
        .policy()
        .router(pending.request())
        .choose(pending.requirement(), databases.tracker(), routing, execution.now());
  }

  private static HomeQueues.Destination destination(RouteDecision.Use use) {
    return switch (use.role()) {
      case PRIMARY -> HomeQueues.Destination.PRIMARY;
      case REPLICA -> HomeQueues.Destination.REPLICAS;
    };
  }

  private void park(PendingRequest pending) {
    databases.probeEagerly();
    parkOrRefuse(pending);
  }

  private void parkOrRefuse(PendingRequest pending) {
    queues
        .park(pending)
        .ifPresent(
            kind -> refuse(pending, execution.error(kind, pending), execution.retryAfterMillis()));
  }

  /** Schedules a dispatch pass on the control thread unless one is scheduled already. */
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
    List<PendingRequest> active = execution.active();
    active.forEach(writes::checkMajority);
    writes.endSupersededAttempts(active);
    if (execution.now() - routedNanos >= ROUTE_INTERVAL_NANOS) {
      routeParked();
    }
    dispatchPrimary();
    dispatchReplicas();
    growPools();
  }

  private void routeParked() {
    routedNanos = execution.now();
    RoutingContext routing = databases.routing();
    for (PendingRequest pending : queues.takeParked()) {
      if (!pending.write()) {
        route(pending, routing);
      } else if (startable(pending)) {
        queues.putBack(HomeQueues.Destination.PRIMARY, pending, execution.now());
      } else {
        parkOrRefuse(pending);
      }
    }
  }

  private boolean startable(PendingRequest write) {
    return !write.waitsBeforeRetry(execution.now())
        && databases.tracker().primary().stream()
            .anyMatch(primary -> primary.term() >= write.minimumTerm());
  }

  private void dispatchPrimary() {
    Optional<DatabaseConnectionPool> pool = databases.primaryPool();
    while (pool.isPresent() && pool.get().ready()) {
      Optional<PendingRequest> next = queues.poll(HomeQueues.Destination.PRIMARY, execution.now());
      if (next.isEmpty()) {
        return;
      }
      startOnPrimary(next.get(), pool.get());
    }
  }

  private void startOnPrimary(PendingRequest pending, DatabaseConnectionPool pool) {
    Primary primary = databases.tracker().primary().orElseThrow();
    if (pending.write() && primary.term() < pending.minimumTerm()) {
      parkOrRefuse(pending);
      return;
    }
    Optional<PendingRequest.HeldConnection> held =
        databases.acquire(pool, HomeQueues.Destination.PRIMARY, pending.request().requestId());
    if (held.isEmpty()) {
      parkOrRefuse(pending);
    } else if (pending.write()) {
      writes.start(pending, held.get(), primary);
    } else {
      reads.start(pending, held.get());
    }
  }

  private void dispatchReplicas() {
    List<PendingRequest> passedOver = new ArrayList<>();
    while (passedOver.size() < MAX_PASSED_OVER && replicaReady()) {
      Optional<PendingRequest> next = queues.poll(HomeQueues.Destination.REPLICAS, execution.now());
      if (next.isEmpty()) {
        break;
      }
      if (!startOnReplica(next.get())) {
        passedOver.add(next.get());
      }
    }
    for (int i = passedOver.size() - 1; i >= 0; i--) {
      queues.putBack(HomeQueues.Destination.REPLICAS, passedOver.get(i), execution.now());
    }
  }

  private boolean replicaReady() {
    return databases.replicaPools().stream().anyMatch(DatabaseConnectionPool::ready);
  }

  /** Returns false if the database chosen for the read has no free connection. */
  private boolean startOnReplica(PendingRequest pending) {
    RouteDecision decision = choose(pending, databases.routing());
    if (!(decision instanceof RouteDecision.Use use)
        || destination(use) != HomeQueues.Destination.REPLICAS) {
      route(pending);
      return true;
    }
    Optional<PendingRequest.HeldConnection> held =
        databases
            .pool(use.databaseId())
            .filter(DatabaseConnectionPool::ready)
            .flatMap(
                pool ->
                    databases.acquire(
                        pool, HomeQueues.Destination.REPLICAS, pending.request().requestId()));
    held.ifPresent(taken -> reads.start(pending, taken));
    return held.isPresent();
  }

  private void growPools() {
    int wantedAtPrimary = 1 + queues.length(HomeQueues.Destination.PRIMARY);
    databases.primaryPool().ifPresent(pool -> pool.grow(wantedAtPrimary));
    int wantedAtReplicas = 1 + queues.length(HomeQueues.Destination.REPLICAS);
    databases.replicaPools().forEach(pool -> pool.grow(wantedAtReplicas));
  }

  /**
   * Handles what depends on time alone: passed deadlines, parked requests, unused connections, and
   * the concurrency limits of the queues.
   */
  public void tick() {
    if (closed) {
      return;
    }
    long now = execution.now();
    queues.expire(now).forEach(this::deadlinePassed);
    for (PendingRequest pending : execution.active()) {
      if (pending.expired(now)) {
        deadlinePassed(pending);
      }
    }
    queues.setConcurrency(
        HomeQueues.Destination.PRIMARY,
        databases.primaryPool().map(DatabaseConnectionPool::limit).orElse(1));
    queues.setConcurrency(
        HomeQueues.Destination.REPLICAS,
        databases.replicaPools().stream().mapToInt(DatabaseConnectionPool::limit).sum());
    databases.pools().forEach(DatabaseConnectionPool::closeUnused);
    routedNanos = now - ROUTE_INTERVAL_NANOS;
    dispatch();
  }

  private void deadlinePassed(PendingRequest pending) {
    if (pending.write()) {
      writes.deadlinePassed(pending);
    } else if (pending.heldConnection().isPresent()) {
      reads.deadlinePassed(pending);
    } else {
      boolean noPrimary = databases.primaryPool().isEmpty();
      ErrorKind kind = noPrimary ? ErrorKind.NO_FRESH_DATABASE : ErrorKind.DEADLINE_EXPIRED;
      execution.refuse(pending, execution.error(kind, pending), execution.retryAfterMillis());
    }
  }

  /** Stops accepting requests and returns those that have not started. */
  public void retire() {
    retiring = true;
    queues.takeUnstarted(execution.now()).forEach(PendingRequest::returnUnstarted);
  }

  /** Accepts requests again after {@link #retire}. */
  public void resume() {
    retiring = false;
  }

  /** Returns the number of requests that are not answered, whether running or waiting. */
  public int running() {
    return execution.activeCount() + queues.length();
  }

  /** Returns the number of requests that wait in a queue or are parked. */
  public int queueLength() {
    return queues.length();
  }

  /** Returns a snapshot for the status page and for reports to failover processes. */
  public HomeReport report() {
    return HomeReport.of(databases, queues, execution);
  }

  /**
   * Closes all connections. Requests that have not started are returned. Requests in progress and
   * those that wait for another attempt are answered with {@code DRAINING}, or with an unknown
   * outcome if they may have committed.
   */
  public void close() {
    closed = true;
    queues.takeUnstarted(execution.now()).forEach(PendingRequest::returnUnstarted);
    List<PendingRequest> unfinished = new ArrayList<>(execution.active());
    unfinished.addAll(queues.takeAll());
    unfinished.forEach(this::refuseUnfinished);
    databases.close();
  }

  private void refuseUnfinished(PendingRequest pending) {
    PollensparError error = PollensparError.of(ErrorKind.DRAINING);
    if (pending.write()) {
      writes.handle(pending, new WriteEvent.Refused(error, execution.retryAfterMillis()));
    } else {
      execution.refuse(pending, error, execution.retryAfterMillis());
    }
  }
}
