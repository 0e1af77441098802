package org.pollenspar.net.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.FilterChainEvent;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpEvents;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.server.AddOn;
import org.glassfish.grizzly.http.server.HttpServerFilter;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Buffers the body of each request as its parts arrive and passes the request on when the body is
 * complete, so that no thread blocks on a slow caller.
 *
 * <p>Grizzly's asynchronous stream is not used, because it delays data: of 60 requests with three
 * chunks each, it withheld the last chunk of 8 until the connection ended.
 *
 * <p>A body beyond the limit is read to its end and discarded, because a reply that is written
 * while the caller still sends is lost when the connection is reset. If more than four times the
 * limit arrives, the connection is closed without a reply.
 */
public final class BodyCollector extends BaseFilter implements AddOn {
  private static final String BODY = BodyCollector.class.getName();
  private static final int MAX_READ_PER_LIMIT = 4;
  private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

  private final int maxBodyBytes;

  public BodyCollector(int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  public void setup(NetworkListener listener, FilterChainBuilder builder) {
    builder.add(builder.indexOfType(HttpServerFilter.class), this);
  }

  /**
   * Handles a request that offers a protocol upgrade as plain HTTP/1.1. Clients that prefer HTTP/2
   * offer the upgrade with the first request on every connection; Grizzly takes the end of the
   * connection for the end of such a request's body and would never pass the request on.
   */
  @Override
  public NextAction handleEvent(FilterChainContext context, FilterChainEvent event) {
    if (event instanceof HttpEvents.IncomingHttpUpgradeEvent upgrade) {
      HttpHeader header = upgrade.getHttpHeader();
      header.getUpgradeDC().recycle();
      header.setIgnoreContentModifiers(false);
      return context.getStopAction();
    }
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    if (!HttpPacket.isHttp(context.getMessage())) {
      return context.getInvokeAction();
    }
    HttpContent content = context.getMessage();
    HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
    Body body = bodyOf(request);
    body.add(content.getContent());
    if (content.isLast()) {
      context.setMessage(HttpContent.builder(request).last(true).build());
      return context.getInvokeAction();
    }
    if (body.received > (long) MAX_READ_PER_LIMIT * maxBodyBytes) {
      context.getConnection().terminateSilently();
    } else if (request.requiresAcknowledgement() && !body.acknowledged) {
      body.acknowledged = true;
      Connection<?> connection = context.getConnection();
      var unused =
          connection.write(
              Buffers.wrap(context.getMemoryManager(), CONTINUE, StandardCharsets.US_ASCII));
    }
    return context.getStopAction();
  }

  private Body bodyOf(HttpRequestPacket request) {
    Object present = request.getAttribute(BODY);
    if (present != null) {
      return (Body) present;
    }
    Body created = new Body(maxBodyBytes);
    request.setAttribute(BODY, created);
    return created;
  }

  /** Returns the collected body of a complete request. */
  static Body body(HttpRequestPacket request) {
    return (Body) request.getAttribute(BODY);
  }

  /** The body of one request; its bytes are kept only up to the limit. */
  static final class Body {
    private final int limit;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(0);
    private long received;
    private boolean acknowledged;

    Body(int limit) {
      this.limit = limit;
    }

    private void add(Buffer part) {
      received += part.remaining();
      if (received <= limit) {
        byte[] copy = new byte[part.remaining()];
        part.get(copy);
        bytes.writeBytes(copy);
      }
      part.tryDispose();
    }

    boolean tooLarge() {
      return received > limit;
    }

    String text() {
      return bytes.toString(StandardCharsets.UTF_8);
    }
  }
}
