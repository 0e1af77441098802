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
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.BrokerMessages;
import org.pollenspar.core.connection.DatabaseEntry;
import org.pollenspar.core.connection.SlotPermitRequest;
import org.pollenspar.core.process.FleetMessages;
import org.pollenspar.core.process.Member;
import org.pollenspar.wire.fleet.FleetEnvelope;
import org.pollenspar.wire.fleet.OutageRequest;
import org.pollenspar.wire.fleet.PingRequest;
import org.pollenspar.wire.fleet.ReachRequest;
import org.pollenspar.wire.fleet.RevokeRequest;
import org.pollenspar.wire.fleet.StoreCall;

/**
 * Messages between members: one connection to each member that something was sent to.
 *
 * <p>A request without an answer in time closes its connection, since a connection can go silent
 * while new ones work.
 */
public final class FleetTransport implements FleetMessages, BrokerMessages {
  private static final int CONNECT_TIMEOUT_MS = 600;
  private static final int REQUEST_TIMEOUT_MS = 900;
  private static final int RELAY_MARGIN_MS = 300;

  private final EventLoopGroup group;
  private final EventLoop loop;
  private final FleetRequestHandler handler;
  private final Map<String, FleetChannel> channels = new HashMap<>();

  /** Creates a node; all channels use the loop. */
  public FleetTransport(EventLoopGroup group, EventLoop loop, FleetRequestHandler handler) {
    this.group = group;
    this.loop = loop;
    this.handler = handler;
  }

  /** Listens for other members. */
  public ChannelFuture listen(String ip, int port) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(initializer(() -> new FleetChannel(loop, handler)))
        .bind(ip, port);
  }

  private ChannelInitializer<Channel> initializer(Supplier<FleetChannel> handlers) {
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
                handlers.get());
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
  public void reaches(Member member, String groupName, String database, Consumer<Boolean> done) {
    ReachRequest request =
        ReachRequest.newBuilder().setGroup(groupName).setDatabase(database).build();
    ask(member, FleetEnvelope.newBuilder().setReach(request), done);
  }

  private void ask(Member member, FleetEnvelope.Builder request, Consumer<Boolean> done) {
    send(
        member.address(),
        request,
        REQUEST_TIMEOUT_MS,
        answer ->
            done.accept(
                answer != null
                    && answer.hasAcknowledgement()
                    && answer.getAcknowledgement().getPositive()));
  }

  /** Calls the platform through a member. */
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
    int colon = address.lastIndexOf(':');
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(initializer(() -> created))
        .connect(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                created.fail();
              }
            });
  }
}
