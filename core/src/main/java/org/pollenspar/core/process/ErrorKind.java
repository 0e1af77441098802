package org.pollenspar.core.process;

import java.text.MessageFormat;
import java.util.Arrays;
import java.util.Optional;

/**
 * Every error that pollenspar reports: a stable number, a severity, the HTTP status for callers and
 * a message template that ends with the remedy.
 *
 * <p>Numbers are never reused: 1xx callers' input, 2xx sessions and keys, 3xx overload and
 * deadlines, 4xx databases and groups, 5xx configuration files, 6xx settings and command lines, 7xx
 * platform and peers, 9xx violated invariants.
 */
public enum ErrorKind {
  MALFORMED_JSON(
      101, Severity.NOTICE, 400, "The body is not valid JSON: {0}. Send one JSON object."),
  INVALID_FIELD(
      102,
      Severity.NOTICE,
      400,
      "Field \"{0}\" is invalid: {1}. Correct the field and send again."),
  BODY_TOO_LARGE(103, Severity.NOTICE, 413, "The body exceeds {0} bytes. Send a smaller request."),
  UNKNOWN_KIND(
      104,
      Severity.NOTICE,
      404,
      "Kind of work \"{0}\" is not in the applied file{1}. Use a declared kind."),
  UNKNOWN_GROUP(
      105,
      Severity.NOTICE,
      404,
      "Group \"{0}\" is not in the applied file{1}. Use a declared group."),
  KEY_REQUIRED(
      106,
      Severity.NOTICE,
      400,
      "Kind \"{0}\" is not repeatable and needs an idempotency key. Add \"key\"."),
  WRITE_IN_READ(
      107,
      Severity.NOTICE,
      400,
      "Kind \"{0}\" is declared as a read, but a statement is not a SELECT. Use a write kind."),
  NO_SUCH_ENDPOINT(
      108, Severity.NOTICE, 404, "No endpoint {0}. See the callers'' guide for the paths."),
  STATEMENT_REFUSED(
      109,
      Severity.NOTICE,
      400,
      "The database refused statement {0}: {1}. Correct the statement; nothing was run."),
  ROW_COUNT_MISMATCH(
      110,
      Severity.NOTICE,
      409,
      "Statement {0} affected {1} rows, expected {2}; the transaction was rolled back. Read the"
          + " current state before trying again."),
  INVALID_TOKEN(
      201,
      Severity.NOTICE,
      401,
      "The session token is forged, truncated or of another fleet. Open a new session."),
  KEY_REUSED(
      202,
      Severity.NOTICE,
      409,
      "Key \"{0}\" was used for a different request. Use a new key for a new request."),
  KEY_IN_PROGRESS(
      203,
      Severity.NOTICE,
      409,
      "Another attempt with key \"{0}\" is running. Ask again with the same key."),
  QUEUE_FULL(
      301, Severity.NOTICE, 429, "The queue of rank {0} is full. Retry after the stated time."),
  DEADLINE_UNREACHABLE(
      302,
      Severity.NOTICE,
      429,
      "The expected wait of {0} ms exceeds the deadline. Retry after the stated time."),
  DEADLINE_EXPIRED(
      303,
      Severity.NOTICE,
      503,
      "The deadline passed before the request ran. Retry with a longer deadline."),
  RETRY_BUDGET_SPENT(
      304,
      Severity.NOTICE,
      503,
      "The retry budget of rank {0} is spent. Retry after the stated time."),
  DRAINING(
      305, Severity.NOTICE, 503, "This proxy is shutting down. Send the request to another proxy."),
  NO_PRIMARY(
      401,
      Severity.NOTICE,
      503,
      "Group \"{0}\" has no confirmed primary. Retry after the stated time."),
  NO_FRESH_DATABASE(
      402,
      Severity.NOTICE,
      503,
      "No database of group \"{0}\" is known to be fresh enough. Retry, or declare a larger"
          + " staleness."),
  OUTCOME_UNKNOWN(
      403,
      Severity.WARNING,
      504,
      "The outcome of the write is unknown. Ask again with key \"{0}\" to settle it."),
  DATABASE_FAILED(
      404, Severity.WARNING, 503, "Database \"{0}\" failed: {1}. Retry after the stated time."),
  NO_HOME(
      405,
      Severity.WARNING,
      503,
      "No home proxy of group \"{0}\" answered. Retry after the stated time."),
  FILE_UNREADABLE(
      501, Severity.ERROR, 400, "File {0} cannot be read: {1}. Check the path and permissions."),
  FILE_SYNTAX(502, Severity.ERROR, 400, "File {0}, line {1}: {2}. Correct the TOML syntax."),
  UNKNOWN_KEY(503, Severity.ERROR, 400, "{0}: unknown key \"{1}\"{2}. Remove or rename it."),
  WRONG_TYPE(504, Severity.ERROR, 400, "{0}: key \"{1}\" must be {2}. Correct the value."),
  OUT_OF_RANGE(
      505,
      Severity.ERROR,
      400,
      "{0}: key \"{1}\" is {2}, allowed is {3}. Choose a value in this range."),
  MISSING_KEY(506, Severity.ERROR, 400, "{0}: key \"{1}\" is missing. Add it."),
  DANGLING_NAME(
      507,
      Severity.ERROR,
      400,
      "{0}: key \"{1}\" names \"{2}\", which is not declared{3}. Declare it or correct the name."),
  FILE_TOO_LARGE(
      508,
      Severity.ERROR,
      413,
      "File {0} has {1} bytes, allowed are {2}. Split the deployment or shorten the file."),
  DUPLICATE_NAME(509, Severity.ERROR, 400, "{0}: \"{1}\" is declared twice. Rename one of them."),
  VERSION_CONFLICT(
      510,
      Severity.NOTICE,
      409,
      "Version {0} by {1} was applied first; this file was not applied. Review with ''pollenspar"
          + " diff'' and apply again."),
  NOT_CONFIGURED(
      511,
      Severity.WARNING,
      503,
      "No configuration is available yet. Apply a file, or restore the platform or a peer."),
  CONFIGURATION_STALE(
      512,
      Severity.WARNING,
      503,
      "This proxy has reached neither the platform nor a peer for {0} ms. Restore its network; use"
          + " another proxy."),
  INVALID_OPTION(601, Severity.ERROR, 400, "{0}. Run with --help for the options."),
  SETTINGS_INVALID(
      602, Severity.ERROR, 400, "Settings {0}: {1}. Correct the file and start again."),
  ADDRESS_IN_USE(
      603,
      Severity.ERROR,
      500,
      "Cannot listen on {0}: {1}. Choose a free port or stop the other process."),
  PLATFORM_UNAVAILABLE(
      701,
      Severity.WARNING,
      503,
      "The platform did not answer {0}: {1}. Check the platform; pollenspar keeps trying."),
  PLATFORM_REFUSED(
      702,
      Severity.WARNING,
      502,
      "The platform refused {0}: {1}. Check the request and the platform''s log."),
  PEER_UNAVAILABLE(
      703,
      Severity.WARNING,
      503,
      "Peer {0} did not answer: {1}. Check the host; another peer is tried."),
  APPLY_UNCONFIRMED(
      704,
      Severity.WARNING,
      504,
      "It is unknown whether apply {0} took effect. Run ''pollenspar status'' when the platform"
          + " answers."),
  APPLY_INCOMPLETE(
      705,
      Severity.WARNING,
      504,
      "Version {0} is accepted but not yet reported by: {1}. Check these proxies with ''pollenspar"
          + " status''."),
  INVARIANT_VIOLATED(
      901,
      Severity.ERROR,
      503,
      "Invariant {0} was violated: {1}. The answer was withheld; report the time line to the"
          + " maintainers.");

  private final int number;
  private final Severity severity;
  private final int httpStatus;
  private final String template;

  ErrorKind(int number, Severity severity, int httpStatus, String template) {
    this.number = number;
    this.severity = severity;
    this.httpStatus = httpStatus;
    this.template = template;
  }

  public int number() {
    return number;
  }

  public Severity severity() {
    return severity;
  }

  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the message template, in the syntax of {@link MessageFormat}. */
  public String template() {
    return template;
  }

  /** Returns the message with the arguments inserted, as plain text without digit grouping. */
  public String message(Object... arguments) {
    Object[] texts = Arrays.stream(arguments).map(String::valueOf).toArray();
    return MessageFormat.format(template, texts);
  }

  public static Optional<ErrorKind> ofNumber(int number) {
    return Arrays.stream(values()).filter(kind -> kind.number == number).findFirst();
  }
}
