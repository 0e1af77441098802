package org.pollenspar.net.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.wire.Envelope;

/**
 * Peer connections over Netty's NIO transport: one outgoing connection per peer, shared by all
 * requests to it, and one listener for requests of others.
 *
 * <p>When a connection ends, the requests that were sent on it fail at once. No request is repeated
 * here, because only the caller knows whether it is idempotent.
 */
public final class NettyPeerNetwork implements PeerNetwork {
  /** The sender refuses larger messages; the receiver closes the connection. */
  public static final int MAX_FRAME_BYTES = 4 << 20;

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int CLOSE_TIMEOUT_MS = 2_000;

  /** While more bytes wait to be sent to a peer, further requests to it fail unsent. */
  private static final int WRITE_BUFFER_BYTES = 16 << 20;

  private final String sender;
  private final HybridClock clock;
  private final PeerHandler handler;
  private final PendingRequests pending;
  private final EventLoopGroup eventLoops;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Map<PeerAddress, ChannelFuture> outgoing = new ConcurrentHashMap<>();
  private final LongAdder handlerFailures = new LongAdder();
  private volatile int port;

  /**
   * Creates the network; {@link #listen} opens the listener.
   *
   * @param sender id of this process
   * @param clock stamps sent messages and advances to the stamps of received ones
   * @param threads threads that do all I/O
   * @param maxPending limit of requests that wait for responses; further ones fail unsent
   * @param handler answers the requests of peers
   */
  public NettyPeerNetwork(
      String sender, HybridClock clock, int threads, int maxPending, PeerHandler handler) {
    this.sender = sender;
    this.clock = clock;
    this.handler = handler;
    this.pending = new PendingRequests(maxPending);
    this.eventLoops =
        new MultiThreadIoEventLoopGroup(
            threads, new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
  }

  /** Opens the listener; fails with {@link ErrorKind#ADDRESS_IN_USE}. */
  public void listen(InetSocketAddress address) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(new PeerChannelInitializer(IncomingConnection::new))
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw PollensparError.of(ErrorKind.ADDRESS_IN_USE, address, String.valueOf(bound.cause()))
          .asException();
    }
    channels.add(bound.channel());
    port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
  }

  @Override
  public CompletableFuture<Envelope> request(
      PeerAddress to, Envelope.Builder body, Duration timeout) {
    Optional<PendingRequests.Pending> added = pending.add();
    if (added.isEmpty()) {
      return CompletableFuture.failedFuture(
          new PeerFailure("the limit of requests that wait for responses is reached", false));
    }
    PendingRequests.Pending request = added.get();
    try {
      Envelope envelope = stamped(body, request.id());
      if (envelope.getSerializedSize() > MAX_FRAME_BYTES) {
        pending.fail(request.id(), "the message exceeds " + MAX_FRAME_BYTES + " bytes");
        return request.response();
      }
      request.timeout(
          eventLoops
              .next()
              .schedule(
                  () -> pending.fail(request.id(), "no response from " + to.hostId() + " in time"),
                  timeout.toNanos(),
                  TimeUnit.NANOSECONDS));
      var unused =
          connection(to)
              .addListener(connected -> send((ChannelFuture) connected, request, envelope));
    } catch (RuntimeException e) {
      pending.fail(request.id(), "request to " + to.hostId() + " failed: " + e);
    }
    return request.response();
  }

  private Envelope stamped(Envelope.Builder body, long requestId) {
    return body.setRequestId(requestId).setHlc(clock.tick()).setSender(sender).build();
  }

  private ChannelFuture connection(PeerAddress to) {
    return outgoing.compute(
        to,
        (address, present) -> {
          boolean usable =
              present != null
                  && (!present.isDone() || (present.isSuccess() && present.channel().isActive()));
          return usable ? present : connect(address);
        });
  }

  private ChannelFuture connect(PeerAddress to) {
    return new Bootstrap()
        .group(eventLoops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(WRITE_BUFFER_BYTES / 2, WRITE_BUFFER_BYTES))
        .handler(new PeerChannelInitializer(() -> new OutgoingConnection(to)))
        .connect(to.address(), to.port());
  }

  /** Runs on the event loop of the connection. */
  private void send(ChannelFuture connected, PendingRequests.Pending request, Envelope envelope) {
    Channel channel = connected.channel();
    OutgoingConnection connection = channel.pipeline().get(OutgoingConnection.class);
    if (!connected.isSuccess() || connection == null) {
      pending.fail(request.id(), "connecting to the peer failed: " + connected.cause());
    } else if (!channel.isWritable()) {
      pending.fail(
          request.id(), "the send buffer of the connection is full; the peer does not read");
    } else if (request.claimForSending()) {
      connection.sent.add(request.id());
      var unusedRemoval =
          request.response().whenComplete((r, f) -> connection.sent.remove(request.id()));
      var unused =
          channel
              .writeAndFlush(envelope)
              .addListener(
                  written -> {
                    if (!written.isSuccess()) {
                      pending.fail(
                          request.id(), "writing to the connection failed: " + written.cause());
                    }
                  });
    }
  }

  @Override
  public int port() {
    return port;
  }

  @Override
  public long droppedResponses() {
    return pending.dropped();
  }

  /**
   * Returns how many requests of peers got no response because the handler failed, or the response
   * was too large or could not be written.
   */
  public long handlerFailures() {
    return handlerFailures.sum();
  }

  /** Returns how many requests wait for responses. */
  public int pendingRequests() {
    return pending.size();
  }

  /** Closes the connections to all other peers, which are no longer in the host list. */
  public void retain(Set<PeerAddress> peers) {
    Iterator<Map.Entry<PeerAddress, ChannelFuture>> entries = outgoing.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<PeerAddress, ChannelFuture> entry = entries.next();
      if (!peers.contains(entry.getKey())) {
        entries.remove();
        var unused = entry.getValue().channel().close();
      }
    }
  }

  @Override
  public void close() {
    channels.close().awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    pending.failAll("this process is closing");
    eventLoops
        .shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_TIMEOUT_MS);
  }

  /** A connection that this process opened: requests out, responses in. */
  private final class OutgoingConnection extends SimpleChannelInboundHandler<Envelope> {
    private final PeerAddress peer;
    private final Set<Long> sent = ConcurrentHashMap.newKeySet();

    OutgoingConnection(PeerAddress peer) {
      this.peer = peer;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      channels.add(context.channel());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope response) {
      clock.observe(response.getHlc());
      if (sent.contains(response.getRequestId())) {
        pending.complete(response);
      } else {
        pending.drop();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      sent.forEach(id -> pending.fail(id, "the connection to " + peer.hostId() + " ended"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      var unused = context.close();
    }
  }

  /** A connection that a peer opened: requests in, responses out. */
  private final class IncomingConnection extends SimpleChannelInboundHandler<Envelope> {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      channels.add(context.channel());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope request) {
      clock.observe(request.getHlc());
      CompletionStage<Envelope.Builder> stage;
      try {
        stage = handler.handle(request);
      } catch (RuntimeException e) {
        handlerFailures.increment();
        return;
      }
      var unused =
          stage.whenComplete(
              (response, failure) -> {
                if (failure == null) {
                  respond(context, request.getRequestId(), response);
                } else {
                  handlerFailures.increment();
                }
              });
    }

    private void respond(ChannelHandlerContext context, long id, Envelope.Builder response) {
      Envelope envelope = stamped(response, id);
      if (envelope.getSerializedSize() > MAX_FRAME_BYTES || !context.channel().isWritable()) {
        handlerFailures.increment();
      } else {
        var unused = context.channel().writeAndFlush(envelope, context.channel().voidPromise());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      var unused = context.close();
    }
  }
}
