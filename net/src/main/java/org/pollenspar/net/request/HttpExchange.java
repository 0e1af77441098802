package org.pollenspar.net.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.jspecify.annotations.Nullable;

/**
 * Reads the body of one request as its bytes arrive, without a thread that waits, and hands over
 * the complete call.
 */
public final class HttpExchange implements ReadHandler {
  private final Request request;
  private final Response response;
  private final NIOInputStream input;
  private final int maxBodyBytes;
  private final Listener listener;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private boolean ended;

  /** Told how the reading of a request ended; exactly one method is called, once. */
  public interface Listener {

    /** The whole request was received. */
    void received(HttpCall call);

    /** The body exceeds the limit; the rest of it was not read. */
    void tooLarge();

    /** The caller closed the connection or broke the protocol. */
    void failed();
  }

  /** Creates the reader of one request. */
  public HttpExchange(Request request, Response response, int maxBodyBytes, Listener listener) {
    this.request = request;
    this.response = response;
    this.input = request.getNIOInputStream();
    this.maxBodyBytes = maxBodyBytes;
    this.listener = listener;
  }

  /** Starts reading. */
  public void start() {
    if (request.getContentLengthLong() > maxBodyBytes) {
      end(Listener::tooLarge);
    } else {
      input.notifyAvailable(this);
    }
  }

  @Override
  public void onDataAvailable() throws IOException {
    if (readAvailable()) {
      input.notifyAvailable(this);
    } else {
      end(Listener::tooLarge);
    }
  }

  @Override
  public void onAllDataRead() throws IOException {
    if (readAvailable()) {
      HttpCall call = call();
      end(told -> told.received(call));
    } else {
      end(Listener::tooLarge);
    }
  }

  @Override
  public void onError(@Nullable Throwable failure) {
    end(Listener::failed);
  }

  private void end(Consumer<Listener> event) {
    if (!ended) {
      ended = true;
      event.accept(listener);
    }
  }

  /** Returns false if the body has become too large. */
  private boolean readAvailable() throws IOException {
    byte[] chunk = new byte[Math.max(1, input.available())];
    while (input.available() > 0) {
      int read = input.read(chunk);
      if (read <= 0) {
        break;
      }
      body.write(chunk, 0, read);
      if (body.size() > maxBodyBytes) {
        return false;
      }
    }
    return true;
  }

  private HttpCall call() throws IOException {
    return new HttpCall(
        request.getMethod().getMethodString(),
        request.getDecodedRequestURI(),
        query(request.getQueryString()),
        body.toString(StandardCharsets.UTF_8));
  }

  private static Map<String, String> query(@Nullable String text) {
    Map<String, String> parameters = new LinkedHashMap<>();
    if (text == null || text.isEmpty()) {
      return parameters;
    }
    for (String pair : text.split("&", -1)) {
      int equals = pair.indexOf('=');
      String name = equals < 0 ? pair : pair.substring(0, equals);
      String value = equals < 0 ? "" : pair.substring(equals + 1);
      parameters.put(decode(name), decode(value));
    }
    return parameters;
  }

  private static String decode(String text) {
    try {
      return URLDecoder.decode(text, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException malformed) {
      return text;
    }
  }

  /** Writes a reply without waiting for the caller to read it. */
  public void write(HttpReply reply, boolean closeConnection) {
    try {
      byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
      response.setStatus(reply.status());
      response.setContentType(reply.contentType());
      reply.headers().forEach(response::setHeader);
      if (closeConnection) {
        response.setHeader("Connection", "close");
      }
      response.setContentLength(bytes.length);
      response.getNIOOutputStream().write(bytes);
    } catch (IOException callerGone) {
      request.getConnection().terminateSilently();
    } finally {
      response.resume();
    }
  }

  /** Closes the connection without a reply. */
  public void abort() {
    request.getConnection().terminateSilently();
    response.resume();
  }
}
