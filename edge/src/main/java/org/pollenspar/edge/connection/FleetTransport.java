package org.pollenspar.edge.connection;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.BrokerMessages;
import org.pollenspar.core.connection.DatabaseEntry;
import org.pollenspar.core.connection.HomeChannel;
import org.pollenspar.core.connection.QuotaAcknowledgement;
import org.pollenspar.core.connection.QuotaDecision;
import org.pollenspar.core.connection.QuotaMessages;
import org.pollenspar.core.connection.QuotaRequest;
import org.pollenspar.core.connection.SlotPermitRequest;
import org.pollenspar.core.process.CoordinationStore;
import org.pollenspar.core.process.FleetMessages;
import org.pollenspar.core.process.Member;
import org.pollenspar.wire.fleet.FleetEnvelope;
import org.pollenspar.wire.fleet.OutageRequest;
import org.pollenspar.wire.fleet.PingRequest;
import org.pollenspar.wire.fleet.ReachRequest;
import org.pollenspar.wire.fleet.RenewRequest;
import org.pollenspar.wire.fleet.RevokeRequest;
import org.pollenspar.wire.fleet.StoreCall;
import org.pollenspar.wire.fleet.WatchRequest;

/**
 * Sends requests to other members and accepts their connections.
 *
 * <p>A connection to a member is opened with the first request to its address, used for all later
 * ones, and replaced by the next request after it failed. Requests that arrive over an accepted
 * connection are answered on it, so two members may hold one connection in each direction.
 *
 * <p>A request that gets no answer within its timeout closes its connection, because a connection
 * can stop delivering data while new connections to the same member work.
 *
 * <p>Not thread-safe: all calls but {@link #listen} must come from the event loop, which also runs
 * all channels.
 */
public final class FleetTransport
    implements FleetMessages, BrokerMessages, QuotaMessages, HomeChannel.Directory {
  private static final int CONNECT_TIMEOUT_MS = 600;
  private static final int REQUEST_TIMEOUT_MS = 900;

  /**
   * Timeout of a renewal by another member. A request that times out closes its connection, and the
   * member waits for a store that may be slow.
   */
  private static final int RENEWAL_TIMEOUT_MS = 5_000;

  /**
   * Added to the wait of a poll of the shared watch. Longer than the wait after which the poll is
   * given up, because a timeout here closes the connection, which may carry statements.
   */
  private static final int WATCH_MARGIN_MS = 4_000;

  /**
   * Added to the timeout of a call that a member makes for this host, for the messages between the
   * two hosts: the member reports its own timeout, and a connection is closed only if that report
   * doesn't come either.
   */
  private static final int RELAY_MARGIN_MS = 300;

  private final EventLoopGroup group;
  private final EventLoop loop;
  private final FleetRequestHandler handler;
  private final Map<String, FleetChannel> channels = new HashMap<>();

  /**
   * Creates a transport.
   *
   * @param group accepts connections; {@code loop} must be its only event loop
   * @param loop runs all channels
   * @param handler executes the requests of other members
   */
  public FleetTransport(EventLoopGroup group, EventLoop loop, FleetRequestHandler handler) {
    this.group = group;
    this.loop = loop;
    this.handler = handler;
  }

  /** Accepts connections of other members. */
  public ChannelFuture listen(String ip, int port) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(initializer(() -> new FleetChannel(loop, handler)))
        .bind(ip, port);
  }

  private ChannelInitializer<Channel> initializer(Supplier<FleetChannel> channelHandlers) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        KeepAlive.enable(channel);
        channel
            .pipeline()
            .addLast(
                new ProtobufVarint32FrameDecoder(),
                new ProtobufDecoder(FleetEnvelope.getDefaultInstance()),
                new ProtobufVarint32LengthFieldPrepender(),
                new ProtobufEncoder(),
                channelHandlers.get());
      }
    };
  }

  @Override
  public void ping(Member member, Consumer<Boolean> done) {
    ask(member, FleetEnvelope.newBuilder().setPing(PingRequest.getDefaultInstance()), done);
  }

  @Override
  public void revoke(Member member, String groupName, long revision, Consumer<Boolean> done) {
    RevokeRequest request =
        RevokeRequest.newBuilder().setGroup(groupName).setRevision(revision).build();
    ask(member, FleetEnvelope.newBuilder().setRevoke(request), done);
  }

  @Override
  public void confirmsStoreOutage(Member member, long lease, Consumer<Boolean> done) {
    OutageRequest request = OutageRequest.newBuilder().setLease(lease).build();
    ask(member, FleetEnvelope.newBuilder().setOutage(request), done);
  }

  @Override
  public void renew(Member member, long lease, Consumer<Boolean> done) {
    RenewRequest request = RenewRequest.newBuilder().setLease(lease).build();
    ask(member, FleetEnvelope.newBuilder().setRenew(request), RENEWAL_TIMEOUT_MS, done);
  }

  @Override
  public void watch(
      Member member, long afterRevision, long waitMillis, Consumer<CoordinationStore.Reply> done) {
    WatchRequest request =
        WatchRequest.newBuilder()
            .setAfterRevision(afterRevision)
            .setWaitMs((int) waitMillis)
            .build();
    send(
        member.address(),
        FleetEnvelope.newBuilder().setWatchRequest(request),
        (int) waitMillis + WATCH_MARGIN_MS,
        answer ->
            done.accept(
                answer == null || !answer.hasWatchAnswer()
                    ? WatchCodec.NO_ANSWER
                    : WatchCodec.decode(answer.getWatchAnswer())));
  }

  @Override
  public void reaches(Member member, String groupName, String database, Consumer<Boolean> done) {
    ReachRequest request =
        ReachRequest.newBuilder().setGroup(groupName).setDatabase(database).build();
    ask(member, FleetEnvelope.newBuilder().setReach(request), done);
  }

  private void ask(Member member, FleetEnvelope.Builder request, Consumer<Boolean> done) {
    ask(member, request, REQUEST_TIMEOUT_MS, done);
  }

  private void ask(
      Member member, FleetEnvelope.Builder request, int timeoutMillis, Consumer<Boolean> done) {
    send(
        member.address(),
        request,
        timeoutMillis,
        answer ->
            done.accept(
                answer != null
                    && answer.hasAcknowledgement()
                    && answer.getAcknowledgement().getPositive()));
  }

  /**
   * Asks a member to call the platform's store for this host. Without an answer of the member the
   * result is {@link FleetRequestHandler#NO_ANSWER}: the member may have made the call.
   */
  public void relay(
      Member member,
      String method,
      String path,
      byte[] body,
      int timeoutMillis,
      FleetRequestHandler.PlatformCallback done) {
    StoreCall call =
        StoreCall.newBuilder()
            .setMethod(method)
            .setPath(path)
            .setBody(ByteString.copyFrom(body))
            .setTimeoutMs(timeoutMillis)
            .build();
    send(
        member.address(),
        FleetEnvelope.newBuilder().setStoreCall(call),
        timeoutMillis + RELAY_MARGIN_MS,
        answer -> {
          if (answer == null || !answer.hasStoreAnswer()) {
            done.completed(FleetRequestHandler.NO_ANSWER, new byte[0]);
          } else {
            done.completed(
                answer.getStoreAnswer().getStatus(),
                answer.getStoreAnswer().getBody().toByteArray());
          }
        });
  }

  private void send(
      String address,
      FleetEnvelope.Builder request,
      int timeoutMillis,
      Consumer<@Nullable FleetEnvelope> done) {
    channel(address).request(request, timeoutMillis, done);
  }

  @Override
  public LongConsumer ask(Member broker, DatabaseEntry database, SlotPermitRequest permitRequest) {
    return channel(broker.address()).requestPermit(database, permitRequest);
  }

  @Override
  public void ask(
      Member coordinator, QuotaRequest request, Consumer<@Nullable QuotaDecision> done) {
    channel(coordinator.address()).requestQuota(request, done);
  }

  @Override
  public void giveBack(Member coordinator, String organisation, boolean relayed) {
    channel(coordinator.address()).giveBackQuota(organisation, relayed);
  }

  @Override
  public void heartbeat(
      Member second,
      String organisation,
      String coordinator,
      long sharedMillis,
      Consumer<@Nullable QuotaAcknowledgement> done) {
    send(
        second.address(),
        QuotaCodec.heartbeat(organisation, coordinator, sharedMillis),
        REQUEST_TIMEOUT_MS,
        answer -> done.accept(answer == null ? null : QuotaCodec.acknowledgement(answer)));
  }

  @Override
  public HomeChannel channel(Member home) {
    return channel(home.address());
  }

  private FleetChannel channel(String address) {
    @Nullable FleetChannel known = channels.get(address);
    if (known != null && known.usable()) {
      return known;
    }
    FleetChannel created = new FleetChannel(loop, handler);
    channels.put(address, created);
    connect(address, created);
    return created;
  }

  private void connect(String address, FleetChannel created) {
    @Nullable InetSocketAddress target = parse(address);
    if (target == null) {
      loop.execute(created::fail);
      return;
    }
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(initializer(() -> created))
        .connect(target)
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                created.fail();
              }
            });
  }

  /** Parses "ip:port"; null if a record of the store contains something else. */
  private static @Nullable InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    if (colon < 0 || !NetUtil.isValidIpV4Address(address.substring(0, colon))) {
      return null;
    }
    try {
      return new InetSocketAddress(
          NetUtil.createInetAddressFromIpAddressString(address.substring(0, colon)),
          Integer.parseInt(address.substring(colon + 1)));
    } catch (IllegalArgumentException e) {
      // Also thrown for a port out of range.
      return null;
    }
  }
}
