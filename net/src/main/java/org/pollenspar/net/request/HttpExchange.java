package org.pollenspar.net.request;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.jspecify.annotations.Nullable;

/** A received request and its response; the reply may be written later, from any thread. */
public final class HttpExchange {
  private final Request request;
  private final Response response;

  /** Suspends the response, which keeps it open until a reply is written or it is aborted. */
  public HttpExchange(Request request, Response response) {
    this.request = request;
    this.response = response;
    response.suspend();
  }

  public Connection<?> connection() {
    return request.getConnection();
  }

  /** Returns whether the body was discarded because it exceeds the limit. */
  public boolean bodyTooLarge() {
    return BodyCollector.body(request.getRequest()).tooLarge();
  }

  public HttpCall call() throws IOException {
    return new HttpCall(
        request.getMethod().getMethodString(),
        request.getDecodedRequestURI(),
        query(request.getQueryString()),
        BodyCollector.body(request.getRequest()).text());
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
    } catch (IOException callerDisconnected) {
      connection().terminateSilently();
    } finally {
      response.resume();
    }
  }

  /** Closes the connection without a reply. */
  public void abort() {
    connection().terminateSilently();
    response.resume();
  }
}
