package org.pollenspar.standin.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decodes the client's messages of the PostgreSQL protocol, version 3; see "Message Formats" in the
 * PostgreSQL manual. The first messages of a connection have no type byte.
 */
final class FrontendDecoder extends ByteToMessageDecoder {
  private static final int PROTOCOL_3_0 = 196_608;
  private static final int CANCEL_REQUEST = 80_877_102;
  private static final int SSL_REQUEST = 80_877_103;
  private static final int GSS_REQUEST = 80_877_104;
  private static final int MAX_FRAME_BYTES = 4 << 20;

  private boolean started;

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    int headerBytes = started ? 5 : 4;
    if (in.readableBytes() < headerBytes) {
      return;
    }
    int length = in.getInt(in.readerIndex() + headerBytes - 4);
    if (length < 4 || length > MAX_FRAME_BYTES) {
      throw new CorruptedFrameException("invalid message length: " + length + " bytes");
    }
    if (in.readableBytes() < headerBytes - 4 + length) {
      return;
    }
    char type = started ? (char) in.readByte() : 0;
    in.skipBytes(4);
    ByteBuf body = in.readSlice(length - 4);
    out.add(started ? message(type, body) : startupMessage(body));
  }

  private FrontendMessage startupMessage(ByteBuf body) {
    int code = body.readInt();
    switch (code) {
      case SSL_REQUEST, GSS_REQUEST:
        return new FrontendMessage.Encryption();
      case CANCEL_REQUEST:
        return new FrontendMessage.Cancel(body.readInt(), body.readInt());
      default:
        if (code >> 16 != PROTOCOL_3_0 >> 16) {
          throw new CorruptedFrameException("unsupported protocol version or request code " + code);
        }
    }
    started = true;
    Map<String, String> parameters = new LinkedHashMap<>();
    String name = string(body);
    while (!name.isEmpty()) {
      parameters.put(name, string(body));
      name = string(body);
    }
    return new FrontendMessage.Startup(parameters);
  }

  private static FrontendMessage message(char type, ByteBuf body) {
    return switch (type) {
      case 'Q' -> new FrontendMessage.Query(string(body));
      case 'X' -> new FrontendMessage.Terminate();
      case 'S' -> new FrontendMessage.Sync();
      default -> new FrontendMessage.Unsupported(type);
    };
  }

  private static String string(ByteBuf body) {
    int length = body.bytesBefore((byte) 0);
    if (length < 0) {
      return "";
    }
    String text = body.readCharSequence(length, StandardCharsets.UTF_8).toString();
    body.skipBytes(1);
    return text;
  }
}
