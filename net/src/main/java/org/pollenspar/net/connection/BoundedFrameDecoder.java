package org.pollenspar.net.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;

/**
 * Splits the stream into frames and closes the connection as soon as a length prefix exceeds the
 * limit. Netty's decoder has no limit: a single wrong prefix would make it buffer up to 2 GB.
 */
final class BoundedFrameDecoder extends ProtobufVarint32FrameDecoder {
  private static final int MAX_PREFIX_BYTES = 5;

  private final int maxFrameBytes;

  BoundedFrameDecoder(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    long length = prefixedLength(in);
    if (length > maxFrameBytes) {
      in.skipBytes(in.readableBytes());
      var unused = context.close();
      throw new TooLongFrameException("frame of " + length + " bytes, allowed " + maxFrameBytes);
    }
    super.decode(context, in, out);
  }

  /** Returns the length in the prefix, or 0 if the prefix is incomplete. */
  private static long prefixedLength(ByteBuf in) {
    long length = 0;
    int available = Math.min(in.readableBytes(), MAX_PREFIX_BYTES);
    for (int i = 0; i < available; i++) {
      byte part = in.getByte(in.readerIndex() + i);
      length |= (part & 0x7fL) << (7 * i);
      if (part >= 0) {
        return length;
      }
    }
    return 0;
  }
}
