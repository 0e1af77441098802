package org.pollenspar.net.process;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.RequestExecutorProvider;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.net.connection.ConnectionDeadlines;
import org.pollenspar.net.request.BodyCollector;
import org.pollenspar.net.request.HttpExchange;
import org.pollenspar.net.request.HttpHandler;
import org.pollenspar.net.request.HttpReply;

/**
 * An HTTP/1.1 listener on Grizzly whose threads never block: bodies are buffered as they arrive,
 * and handlers may reply later, from any thread. A slow or half-open connection therefore does not
 * occupy a thread.
 */
public final class HttpService implements AutoCloseable {
  /** A caller with more unread bytes of earlier replies is disconnected at its next reply. */
  private static final int MAX_UNREAD_REPLY_BYTES = 4 << 20;

  // Grizzly logs each start and stop at INFO. The strong reference keeps the logger from being
  // garbage-collected, which would lose its level.
  private static final Logger GRIZZLY_LOGGER = Logger.getLogger("org.glassfish.grizzly");

  private final String name;
  private final InetSocketAddress address;
  private final int maxBodyBytes;
  private final HttpHandler handler;
  private final HttpServer server = new HttpServer();
  private final NetworkListener listener;
  private final ConnectionDeadlines deadlines;
  private volatile boolean accepting;

  /**
   * Prepares a listener; {@link #start} opens the socket.
   *
   * @param name name of the threads
   * @param address IP address and port; port 0 selects a free one
   * @param maxBodyBytes larger bodies are refused with status 413
   * @param readTimeout a connection that does not deliver a request in this time is closed
   * @param threads threads that do all I/O
   * @param handler answers the requests
   */
  public HttpService(
      String name,
      InetSocketAddress address,
      int maxBodyBytes,
      Duration readTimeout,
      int threads,
      HttpHandler handler) {
    GRIZZLY_LOGGER.setLevel(Level.WARNING);
    this.name = name;
    this.address = address;
    this.maxBodyBytes = maxBodyBytes;
    this.handler = handler;
    this.deadlines = new ConnectionDeadlines(name, readTimeout);
    this.listener = new NetworkListener(name, address.getHostString(), address.getPort());
    configure(threads);
  }

  private void configure(int threads) {
    // The deadlines replace Grizzly's idle timeout, which each byte from the caller restarts.
    listener.getKeepAlive().setIdleTimeoutInSeconds(-1);
    listener.getKeepAlive().setMaxRequestsCount(-1);
    // Unlimited, so that writing a reply never blocks; MAX_UNREAD_REPLY_BYTES bounds the queue.
    listener.setMaxPendingBytes(-1);
    listener.registerAddOn(deadlines);
    listener.registerAddOn(new BodyCollector(maxBodyBytes));
    listener.getFileCache().setEnabled(false);
    TCPNIOTransport transport = listener.getTransport();
    transport.setIOStrategy(SameThreadIOStrategy.getInstance());
    transport.setReuseAddress(true);
    transport.setTcpNoDelay(true);
    transport.setSelectorRunnersCount(threads);
    transport.setKernelThreadPoolConfig(
        ThreadPoolConfig.defaultConfig()
            .setPoolName(name)
            .setCorePoolSize(threads)
            .setMaxPoolSize(threads)
            .setDaemon(true));
    server.addListener(listener);
    server.getServerConfiguration().addHttpHandler(new GrizzlyHandler(), "/");
  }

  /** Opens the listening socket; fails with {@link ErrorKind#ADDRESS_IN_USE}. */
  public void start() {
    try {
      server.start();
      accepting = true;
    } catch (IOException | RuntimeException e) {
      throw PollensparError.of(ErrorKind.ADDRESS_IN_USE, address, String.valueOf(e.getMessage()))
          .asException();
    }
  }

  public int port() {
    return listener.getPort();
  }

  public int openConnections() {
    return deadlines.openConnections();
  }

  /**
   * Closes the listening socket; the kernel refuses connections within milliseconds. Requests on
   * open connections are still answered, with {@code Connection: close}.
   */
  public void stopAccepting() {
    accepting = false;
    listener.getTransport().unbindAll();
  }

  @Override
  public void close() {
    accepting = false;
    deadlines.close();
    server.shutdownNow();
  }

  private void answer(HttpExchange exchange) throws IOException {
    CompletionStage<HttpReply> stage;
    try {
      stage = handler.handle(exchange.call());
    } catch (RuntimeException e) {
      reply(internalError(e), exchange);
      return;
    }
    var unused =
        stage.whenComplete(
            (reply, failure) -> reply(failure == null ? reply : internalError(failure), exchange));
  }

  private void reply(HttpReply reply, HttpExchange exchange) {
    if (unreadBytes(exchange.connection()) > MAX_UNREAD_REPLY_BYTES) {
      exchange.abort();
      return;
    }
    deadlines.replyWritten(exchange.connection());
    exchange.write(reply, !accepting);
  }

  private static int unreadBytes(Connection<?> connection) {
    return connection instanceof NIOConnection nio ? nio.getAsyncWriteQueue().spaceInBytes() : 0;
  }

  private static HttpReply internalError(Throwable failure) {
    String text = JsonNodeFactory.instance.textNode(String.valueOf(failure)).toString();
    return HttpReply.json(500, "{\"error\": {\"message\": " + text + "}}");
  }

  private HttpReply bodyTooLargeReply() {
    ErrorKind kind = ErrorKind.BODY_TOO_LARGE;
    var root = JsonNodeFactory.instance.objectNode().put("outcome", "not_run");
    root.putObject("error")
        .put("number", kind.number())
        .put("name", kind.name())
        .put("message", kind.message(maxBodyBytes));
    return HttpReply.json(kind.httpStatus(), root.toString());
  }

  /** Passes Grizzly's requests on to the handler. */
  private final class GrizzlyHandler extends org.glassfish.grizzly.http.server.HttpHandler {
    GrizzlyHandler() {
      setAllowEncodedSlash(true);
    }

    @Override
    public RequestExecutorProvider getRequestExecutorProvider() {
      return new RequestExecutorProvider.SameThreadProvider();
    }

    @Override
    protected boolean sendAcknowledgment(Request request, Response response) {
      // The body collector has already sent "100 Continue".
      return true;
    }

    @Override
    public void service(Request request, Response response) throws IOException {
      HttpExchange exchange = new HttpExchange(request, response);
      deadlines.requestReceived(exchange.connection());
      if (exchange.bodyTooLarge()) {
        reply(bodyTooLargeReply(), exchange);
      } else {
        answer(exchange);
      }
    }
  }
}
