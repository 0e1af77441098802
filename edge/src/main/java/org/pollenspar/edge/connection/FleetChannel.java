package org.pollenspar.edge.connection;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.DatabaseEntry;
import org.pollenspar.core.connection.ForwardOutcome;
import org.pollenspar.core.connection.ForwardedRequest;
import org.pollenspar.core.connection.HomeChannel;
import org.pollenspar.core.connection.QuotaDecision;
import org.pollenspar.core.connection.QuotaMessages;
import org.pollenspar.core.connection.QuotaRequest;
import org.pollenspar.core.connection.SlotPermitRequest;
import org.pollenspar.wire.fleet.Acknowledgement;
import org.pollenspar.wire.fleet.FleetEnvelope;
import org.pollenspar.wire.fleet.ForwardEnd;
import org.pollenspar.wire.fleet.PermitDecision;
import org.pollenspar.wire.fleet.PermitEnd;
import org.pollenspar.wire.fleet.PermitRequest;
import org.pollenspar.wire.fleet.PermitState;
import org.pollenspar.wire.fleet.PingRequest;
import org.pollenspar.wire.fleet.StoreAnswer;
import org.pollenspar.wire.fleet.StoreCall;

/**
 * One connection between two members. Both ends use this class, whichever of them opened the
 * connection.
 *
 * <p>Each end numbers its own requests, and an answer repeats the number of its request. Messages
 * that are sent before the connection is established are kept and written as soon as it is. If a
 * request gets no answer within its timeout, the whole connection is closed.
 *
 * <p>Invariant: every request's callback is called exactly once. When the connection ends, requests
 * without an answer receive null, this host's undecided permit requests learn that the broker is
 * unavailable, and permits that the other end holds or waits for are released, because its release
 * message can't arrive any more. Forwarded statements without an answer are lost, or not sent if
 * the connection was never established; those of the other end are withdrawn or rolled back.
 *
 * <p>Not thread-safe: all calls must come from the event loop.
 */
final class FleetChannel extends SimpleChannelInboundHandler<FleetEnvelope> implements HomeChannel {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Silence, while answers to forwarded statements are due, after which the other end is pinged.
   */
  private static final int SILENCE_MS = 250;

  /** Time limit of that ping; the connection is closed if it isn't answered. */
  private static final int SILENCE_PING_TIMEOUT_MS = 600;

  /** A request without an answer so far. */
  private record Pending(Consumer<@Nullable FleetEnvelope> done, Future<?> timeout) {}

  private final EventLoop loop;
  private final FleetRequestHandler handler;
  private final Map<Long, Pending> pending = new HashMap<>();
  private final List<FleetEnvelope> unsent = new ArrayList<>();

  /** Permit requests of this host that have no final decision yet, by request id. */
  private final Map<Long, SlotPermitRequest> sentPermitRequests = new HashMap<>();

  /** Permit requests of the other end that are queued or granted here, by request id. */
  private final Map<Long, PeerPermitRequest> receivedPermitRequests = new HashMap<>();

  /** Statements that this host forwarded and that are not answered yet, by request id. */
  private final Map<Long, Consumer<ForwardOutcome>> forwarded = new HashMap<>();

  private final ReceivedStatements receivedStatements;
  private final QuotaExchange quotas;
  private @Nullable ChannelHandlerContext context;
  private long lastReadNanos;
  private boolean watchingSilence;
  private boolean pinging;
  private long nextId = 1;
  private boolean failed;

  FleetChannel(EventLoop loop, FleetRequestHandler handler) {
    this.loop = loop;
    this.handler = handler;
    this.receivedStatements = new ReceivedStatements(handler.acceptForwardedWork(), this::close);
    this.quotas = new QuotaExchange(handler::quotas);
  }

  @Override
  public boolean usable() {
    return !failed;
  }

  void request(
      FleetEnvelope.Builder request, int timeoutMillis, Consumer<@Nullable FleetEnvelope> done) {
    long id = nextId++;
    FleetEnvelope envelope = request.setRequestId(id).build();
    pending.put(
        id,
        new Pending(
            done, loop.schedule(this::closeAfterTimeout, timeoutMillis, TimeUnit.MILLISECONDS)));
    send(envelope);
  }

  private void send(FleetEnvelope envelope) {
    @Nullable ChannelHandlerContext active = context;
    if (active == null) {
      unsent.add(envelope);
    } else {
      active.writeAndFlush(envelope);
    }
  }

  /**
   * Sends a permit request to the broker at the other end.
   *
   * @return withdraws the request or releases its permit; its argument is by how many milliseconds
   *     the database's queue lately delayed the answers that this host received
   */
  LongConsumer requestPermit(DatabaseEntry database, SlotPermitRequest permitRequest) {
    long id = nextId++;
    sentPermitRequests.put(id, permitRequest);
    send(
        FleetEnvelope.newBuilder()
            .setRequestId(id)
            .setPermitRequest(
                PermitRequest.newBuilder()
                    .setDatabase(database.id())
                    .setSlots(database.capacity())
                    .setPriority(permitRequest.priority())
                    .setPatienceMs((int) permitRequest.maxWaitMillis()))
            .build());
    return delayMillis -> {
      sentPermitRequests.remove(id);
      if (!failed) {
        send(
            FleetEnvelope.newBuilder()
                .setRequestId(id)
                .setPermitEnd(PermitEnd.newBuilder().setDelayMs((int) delayMillis))
                .build());
      }
    };
  }

  @Override
  public long forward(ForwardedRequest request, Consumer<ForwardOutcome> done) {
    long id = nextId++;
    if (failed) {
      loop.execute(() -> done.accept(notSent()));
      return id;
    }
    forwarded.put(id, done);
    send(
        FleetEnvelope.newBuilder()
            .setRequestId(id)
            .setForwardRequest(ForwardCodec.encode(request))
            .build());
    watchSilence();
    return id;
  }

  private static ForwardOutcome notSent() {
    return ForwardOutcome.unanswered(
        ForwardOutcome.Kind.NOT_SENT, "the home host can't be reached; retry in 300 ms");
  }

  /** Asks the coordinator at the other end for one operation; see {@link QuotaMessages#ask}. */
  void requestQuota(QuotaRequest request, Consumer<@Nullable QuotaDecision> done) {
    if (failed) {
      loop.execute(() -> done.accept(null));
      return;
    }
    send(quotas.request(nextId++, request, done));
    watchSilence();
  }

  /** Gives a grant back to the coordinator at the other end. */
  void giveBackQuota(String organisation, boolean relayed) {
    if (!failed) {
      send(QuotaCodec.giveBack(organisation, relayed));
    }
  }

  @Override
  public long nextTransaction() {
    return nextId++;
  }

  @Override
  public void end(long id) {
    if (!failed) {
      send(
          FleetEnvelope.newBuilder()
              .setRequestId(id)
              .setForwardEnd(ForwardEnd.getDefaultInstance())
              .build());
    }
  }

  /**
   * Pings the other end if it is silent while answers are due. TCP doesn't notice a process that is
   * stopped, nor a connection that delivers nothing while others work.
   */
  private void watchSilence() {
    if (watchingSilence || failed) {
      return;
    }
    watchingSilence = true;
    long since = System.nanoTime();
    loop.schedule(
        () -> {
          watchingSilence = false;
          if (forwarded.isEmpty() && quotas.idle()) {
            return;
          }
          if (context != null && !pinging && lastReadNanos - since < 0) {
            pinging = true;
            request(
                FleetEnvelope.newBuilder().setPing(PingRequest.getDefaultInstance()),
                SILENCE_PING_TIMEOUT_MS,
                answer -> pinging = false);
          }
          watchSilence();
        },
        SILENCE_MS,
        TimeUnit.MILLISECONDS);
  }

  private void closeAfterTimeout() {
    fail();
    close();
  }

  private void close() {
    @Nullable ChannelHandlerContext active = context;
    if (active != null) {
      active.close();
    }
  }

  /** Ends this channel's use: fails all requests and releases the permits of the other end. */
  void fail() {
    failed = true;
    failForwarded();
    quotas.fail();
    receivedStatements.close();
    List<Pending> all = new ArrayList<>(pending.values());
    pending.clear();
    unsent.clear();
    for (Pending each : all) {
      each.timeout().cancel(false);
      each.done().accept(null);
    }
    List<SlotPermitRequest> unanswered = List.copyOf(sentPermitRequests.values());
    sentPermitRequests.clear();
    unanswered.forEach(SlotPermitRequest::brokerUnavailable);
    receivedPermitRequests.values().forEach(permitRequest -> permitRequest.release(0));
    receivedPermitRequests.clear();
  }

  private void failForwarded() {
    List<Consumer<ForwardOutcome>> unanswered = List.copyOf(forwarded.values());
    forwarded.clear();
    ForwardOutcome outcome =
        context == null
            ? notSent()
            : ForwardOutcome.unanswered(
                ForwardOutcome.Kind.LOST, "the connection to the home host was lost");
    unanswered.forEach(done -> done.accept(outcome));
  }

  @Override
  public void channelActive(ChannelHandlerContext active) {
    if (failed) {
      active.close();
      return;
    }
    context = active;
    lastReadNanos = System.nanoTime();
    unsent.forEach(active::write);
    unsent.clear();
    active.flush();
  }

  @Override
  public void channelInactive(ChannelHandlerContext active) {
    fail();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext active, Throwable cause) {
    // After a malformed frame the stream can't be parsed any further, and after an I/O error it is
    // broken. Closing the connection fails its requests; see channelInactive.
    active.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext active, FleetEnvelope message) {
    lastReadNanos = System.nanoTime();
    switch (message.getBodyCase()) {
      case ACKNOWLEDGEMENT, STORE_ANSWER, WATCH_ANSWER, QUOTA_ACKNOWLEDGEMENT ->
          completeRequest(message);
      case QUOTA_REQUEST, QUOTA_DECISION, QUOTA_RETURN, QUOTA_HEARTBEAT ->
          quotas.received(message, active::writeAndFlush);
      case PING -> acknowledge(active, message, true);
      case REVOKE ->
          handler.revoke(
              message.getRevoke().getGroup(),
              message.getRevoke().getRevision(),
              done -> acknowledge(active, message, done));
      case REACH ->
          handler.reaches(
              message.getReach().getGroup(),
              message.getReach().getDatabase(),
              done -> acknowledge(active, message, done));
      case OUTAGE ->
          acknowledge(active, message, handler.confirmsStoreOutage(message.getOutage().getLease()));
      case RENEW ->
          handler.renew(message.getRenew().getLease(), done -> acknowledge(active, message, done));
      case WATCH_REQUEST ->
          handler.watch(
              message.getWatchRequest().getAfterRevision(),
              message.getWatchRequest().getWaitMs(),
              reply ->
                  active.writeAndFlush(
                      FleetEnvelope.newBuilder()
                          .setRequestId(message.getRequestId())
                          .setWatchAnswer(WatchCodec.encode(reply))
                          .build()));
      case STORE_CALL -> forwardStoreCall(active, message);
      case PERMIT_REQUEST -> new PeerPermitRequest(active, message).submit();
      case PERMIT_END -> releasePermit(message.getRequestId(), message.getPermitEnd().getDelayMs());
      case PERMIT_DECISION -> handleDecision(message.getRequestId(), message.getPermitDecision());
      case FORWARD_REQUEST -> receivedStatements.run(active, message);
      case FORWARD_END -> receivedStatements.end(message.getRequestId());
      case FORWARD_ANSWER -> {
        @Nullable Consumer<ForwardOutcome> done = forwarded.remove(message.getRequestId());
        if (done != null) {
          done.accept(ForwardCodec.decode(message.getForwardAnswer()));
        }
      }
      default -> active.close();
    }
  }

  private void releasePermit(long id, long delayMillis) {
    @Nullable PeerPermitRequest permitRequest = receivedPermitRequests.remove(id);
    if (permitRequest != null) {
      permitRequest.release(delayMillis);
    }
  }

  private void handleDecision(long id, PermitDecision decision) {
    @Nullable SlotPermitRequest permitRequest = sentPermitRequests.get(id);
    if (permitRequest == null) {
      return;
    }
    switch (decision.getState()) {
      case QUEUED -> permitRequest.queued();
      case GRANTED -> {
        sentPermitRequests.remove(id);
        permitRequest.granted();
      }
      default -> {
        sentPermitRequests.remove(id);
        permitRequest.refused(decision.getRetryAfterMs());
      }
    }
  }

  /** A permit request of the host at the other end, for a database that this host brokers. */
  private final class PeerPermitRequest implements SlotPermitRequest {
    private final ChannelHandlerContext active;
    private final long id;
    private final PermitRequest request;

    PeerPermitRequest(ChannelHandlerContext active, FleetEnvelope message) {
      this.active = active;
      this.id = message.getRequestId();
      this.request = message.getPermitRequest();
    }

    void submit() {
      receivedPermitRequests.put(id, this);
      handler.requestPermit(request.getDatabase(), request.getSlots(), this);
    }

    void release(long delayMillis) {
      handler.releasePermit(request.getDatabase(), this, delayMillis);
    }

    private void answer(PermitState state, long retryAfterMillis) {
      active.writeAndFlush(
          FleetEnvelope.newBuilder()
              .setRequestId(id)
              .setPermitDecision(
                  PermitDecision.newBuilder()
                      .setState(state)
                      .setRetryAfterMs((int) retryAfterMillis))
              .build());
    }

    @Override
    public int priority() {
      return request.getPriority();
    }

    @Override
    public long maxWaitMillis() {
      return request.getPatienceMs();
    }

    @Override
    public void queued() {
      answer(PermitState.QUEUED, 0);
    }

    @Override
    public void granted() {
      answer(PermitState.GRANTED, 0);
    }

    @Override
    public void refused(long retryAfterMillis) {
      receivedPermitRequests.remove(id);
      answer(PermitState.REFUSED, retryAfterMillis);
    }

    @Override
    public void brokerUnavailable() {
      // Not called here: this host's broker always decides. Only the host that sent the request
      // can find that the broker is unavailable.
    }
  }

  private void completeRequest(FleetEnvelope message) {
    @Nullable Pending request = pending.remove(message.getRequestId());
    if (request != null) {
      request.timeout().cancel(false);
      request.done().accept(message);
    }
  }

  private static void acknowledge(
      ChannelHandlerContext active, FleetEnvelope request, boolean positive) {
    active.writeAndFlush(
        FleetEnvelope.newBuilder()
            .setRequestId(request.getRequestId())
            .setAcknowledgement(Acknowledgement.newBuilder().setPositive(positive))
            .build());
  }

  private void forwardStoreCall(ChannelHandlerContext active, FleetEnvelope request) {
    StoreCall call = request.getStoreCall();
    handler.callPlatform(
        call.getMethod(),
        call.getPath(),
        call.getBody().toByteArray(),
        call.getTimeoutMs(),
        (status, body) ->
            active.writeAndFlush(
                FleetEnvelope.newBuilder()
                    .setRequestId(request.getRequestId())
                    .setStoreAnswer(
                        StoreAnswer.newBuilder()
                            .setStatus(status)
                            .setBody(ByteString.copyFrom(body)))
                    .build()));
  }
}
