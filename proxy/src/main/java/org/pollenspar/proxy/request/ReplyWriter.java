package org.pollenspar.proxy.request;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.pollenspar.core.connection.SessionToken;
import org.pollenspar.core.connection.TokenCodec;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.net.request.HttpReply;

/** Converts outcomes to HTTP replies for callers. */
public final class ReplyWriter {
  private static final JsonMapper MAPPER = JsonMapper.builder().build();
  private static final int CREATED = 201;
  private static final int OK = 200;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final TokenCodec codec;

  /** Creates a writer; the codec signs session tokens. */
  public ReplyWriter(TokenCodec codec) {
    this.codec = codec;
  }

  /** Returns the reply that opens a session. */
  public HttpReply session(SessionToken session) {
    ObjectNode node = MAPPER.createObjectNode().put("session", codec.encode(session));
    return HttpReply.json(CREATED, node.toString());
  }

  /** Returns the reply to a request; if it was done, with the session's new token. */
  public HttpReply reply(ParsedWork work, Outcome outcome) {
    if (outcome instanceof Outcome.Done done) {
      return done(work, done);
    }
    if (outcome instanceof Outcome.NotRun notRun) {
      return notRun(notRun.error(), notRun.retryAfterMillis());
    }
    return unknown(((Outcome.Unknown) outcome).error());
  }

  private HttpReply done(ParsedWork work, Outcome.Done done) {
    String group = work.request().group();
    SessionToken session =
        done.position().map(p -> work.session().advanced(group, p)).orElse(work.session());
    ObjectNode node = MAPPER.createObjectNode().put("outcome", "done");
    node.set("results", ResultJson.array(done.results()));
    node.put("session", codec.encode(session))
        .put("served_by", done.servedBy())
        .put("role", done.role().wireName())
        .put("config_version", work.configVersion());
    return HttpReply.json(OK, node.toString());
  }

  /**
   * Returns the reply to a request that was not run.
   *
   * @param retryAfterMillis time after which to retry; 0 if a retry cannot help
   */
  public HttpReply notRun(PollensparError error, long retryAfterMillis) {
    ObjectNode node = errorNode("not_run", error).put("retry_after_ms", retryAfterMillis);
    return withRetryAfter(error.kind().httpStatus(), node, retryAfterMillis);
  }

  /**
   * Returns the reply to a write that may have been run.
   *
   * @param error why the outcome is unknown
   */
  public HttpReply unknown(PollensparError error) {
    return withRetryAfter(GATEWAY_TIMEOUT, errorNode("unknown", error), 0);
  }

  private static ObjectNode errorNode(String outcome, PollensparError error) {
    ObjectNode node = MAPPER.createObjectNode().put("outcome", outcome);
    node.putObject("error")
        .put("number", error.kind().number())
        .put("name", error.kind().name())
        .put("message", error.message());
    return node;
  }

  /**
   * Adds a Retry-After header, rounded up: it has whole seconds (RFC 9110, section 10.2.3), while
   * the body has milliseconds.
   */
  private static HttpReply withRetryAfter(int status, ObjectNode node, long retryAfterMillis) {
    long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    Map<String, String> headers =
        retryAfterMillis > 0 ? Map.of("Retry-After", Long.toString(seconds)) : Map.of();
    return new HttpReply(status, "application/json", headers, node.toString());
  }
}
