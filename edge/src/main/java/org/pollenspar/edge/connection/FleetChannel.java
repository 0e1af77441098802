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
import org.jspecify.annotations.Nullable;
import org.pollenspar.wire.fleet.Acknowledgement;
import org.pollenspar.wire.fleet.FleetEnvelope;
import org.pollenspar.wire.fleet.StoreAnswer;
import org.pollenspar.wire.fleet.StoreCall;

/** One connection between two members, in either direction; matches answers by request id. */
final class FleetChannel extends SimpleChannelInboundHandler<FleetEnvelope> {
  /** A request that waits for its answer. */
  private record Pending(Consumer<@Nullable FleetEnvelope> done, Future<?> timeout) {}

  private final EventLoop loop;
  private final FleetHandler handler;
  private final Map<Long, Pending> pending = new HashMap<>();
  private final List<FleetEnvelope> unsent = new ArrayList<>();
  private @Nullable ChannelHandlerContext context;
  private long nextId = 1;
  private boolean failed;

  FleetChannel(EventLoop loop, FleetHandler handler) {
    this.loop = loop;
    this.handler = handler;
  }

  boolean open() {
    return !failed;
  }

  void request(
      FleetEnvelope.Builder request, int timeoutMillis, Consumer<@Nullable FleetEnvelope> done) {
    long id = nextId++;
    FleetEnvelope envelope = request.setRequestId(id).build();
    pending.put(
        id, new Pending(done, loop.schedule(this::timedOut, timeoutMillis, TimeUnit.MILLISECONDS)));
    @Nullable ChannelHandlerContext active = context;
    if (active == null) {
      unsent.add(envelope);
    } else {
      active.writeAndFlush(envelope);
    }
  }

  private void timedOut() {
    fail();
    @Nullable ChannelHandlerContext active = context;
    if (active != null) {
      active.close();
    }
  }

  /** Fails everything that waits. */
  void fail() {
    failed = true;
    List<Pending> all = new ArrayList<>(pending.values());
    pending.clear();
    unsent.clear();
    for (Pending each : all) {
      each.timeout().cancel(false);
      each.done().accept(null);
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext active) {
    context = active;
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
    // A damaged frame or a reset: both end the connection, and what waits on it fails.
    active.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext active, FleetEnvelope message) {
    switch (message.getBodyCase()) {
      case ACKNOWLEDGEMENT, STORE_ANSWER -> answered(message);
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
          acknowledge(active, message, handler.witnessesOutage(message.getOutage().getLease()));
      case STORE_CALL -> relay(active, message);
      default -> active.close();
    }
  }

  private void answered(FleetEnvelope message) {
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

  private void relay(ChannelHandlerContext active, FleetEnvelope request) {
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
