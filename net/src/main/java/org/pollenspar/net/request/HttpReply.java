package org.pollenspar.net.request;

import java.util.Map;

/**
 * The reply to an HTTP request.
 *
 * @param status status code
 * @param contentType media type
 * @param headers further headers
 * @param body body
 */
public record HttpReply(int status, String contentType, Map<String, String> headers, String body) {

  public static HttpReply json(int status, String json) {
    return new HttpReply(status, "application/json", Map.of(), json);
  }

  public static HttpReply text(int status, String text) {
    return new HttpReply(status, "text/plain; charset=utf-8", Map.of(), text);
  }
}
