package org.pollenspar.net.connection;

import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.util.function.Supplier;
import org.pollenspar.wire.Envelope;

/** Sets up the pipeline of a peer connection: envelopes with a varint length prefix. */
final class PeerChannelInitializer extends ChannelInitializer<SocketChannel> {
  private final Supplier<ChannelInboundHandlerAdapter> handler;

  PeerChannelInitializer(Supplier<ChannelInboundHandlerAdapter> handler) {
    this.handler = handler;
  }

  @Override
  protected void initChannel(SocketChannel channel) {
    channel
        .pipeline()
        .addLast(new BoundedFrameDecoder(NettyPeerNetwork.MAX_FRAME_BYTES))
        .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
        .addLast(new ProtobufVarint32LengthFieldPrepender())
        .addLast(new ProtobufEncoder())
        .addLast(handler.get());
  }
}
