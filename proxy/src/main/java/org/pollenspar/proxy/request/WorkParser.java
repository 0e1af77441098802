package org.pollenspar.proxy.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.pollenspar.core.connection.SessionToken;
import org.pollenspar.core.connection.TokenCodec;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.PollensparException;
import org.pollenspar.core.request.Access;
import org.pollenspar.core.request.Statement;
import org.pollenspar.core.request.WorkKind;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.core.version.FleetFile;
import org.pollenspar.core.version.FleetVersion;
import org.pollenspar.core.version.NearestName;

/**
 * Parses the body of {@code POST /v1/work} and checks it against the configuration: field names and
 * types, session tokens, group and kind, idempotency key, deadline and statements.
 */
public final class WorkParser {
  private static final Set<String> FIELDS =
      Set.of("session", "group", "kind", "key", "retry", "deadline_ms", "statements");
  private static final Set<String> STATEMENT_FIELDS = Set.of("sql", "expect_rows");
  private static final int MAX_TOKENS = 16;
  private static final int MAX_TOKEN_CHARS = 8_192;
  private static final int MAX_NAME_CHARS = 100;
  private static final int MAX_KEY_CHARS = 200;
  private static final int MAX_SQL_CHARS = 65_536;

  private final TokenCodec codec;
  private final Supplier<String> newKey;
  private final ObjectReader reader =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build()
          .readerFor(JsonNode.class);

  /**
   * Creates a parser.
   *
   * @param codec decodes session tokens
   * @param newKey generates the key of a repeatable write that was sent without one
   */
  public WorkParser(TokenCodec codec, Supplier<String> newKey) {
    this.codec = codec;
    this.newKey = newKey;
  }

  /**
   * Parses a body.
   *
   * @param version configuration version at the request's arrival, used until the request ends
   */
  public Either<PollensparError, ParsedWork> parse(
      String body, FleetVersion version, long requestId, long nowNanos) {
    try {
      JsonNode node = reader.readValue(body);
      return Either.right(parse(node, version, requestId, nowNanos));
    } catch (JsonProcessingException e) {
      return Either.left(PollensparError.of(ErrorKind.MALFORMED_JSON, describe(e)));
    } catch (PollensparException e) {
      return Either.left(e.error());
    }
  }

  /** Returns whether a body, even an otherwise invalid one, claims to retry a keyed write. */
  public boolean claimsRetry(String body) {
    try {
      JsonNode node = reader.readValue(body);
      return node.path("retry").asBoolean() && node.path("key").isTextual();
    } catch (JsonProcessingException e) {
      return false;
    }
  }

  private ParsedWork parse(JsonNode node, FleetVersion version, long requestId, long nowNanos) {
    FieldReader fields = new FieldReader("", node, FIELDS);
    SessionToken session = session(fields);
    FleetFile file = version.file();
    String group = fields.requiredText("group", MAX_NAME_CHARS);
    if (!file.groups().containsKey(group)) {
      throw unknownName(ErrorKind.UNKNOWN_GROUP, group, file.groups().keySet());
    }
    WorkKind kind = kind(fields.requiredText("kind", MAX_NAME_CHARS), file);
    Optional<String> sentKey = fields.text("key", MAX_KEY_CHARS);
    boolean retry = fields.flag("retry");
    if (retry && sentKey.isEmpty() && kind.access() == Access.WRITE) {
      throw FieldReader.invalid("retry", "a retry needs the key of the earlier attempt");
    }
    Optional<String> key = key(kind, sentKey);
    long deadlineMillis =
        fields.integer("deadline_ms", kind.deadlineMillis(), 1, kind.deadlineMillis());
    List<Statement> statements = statements(fields, kind, file.maxStatements());
    WorkRequest request =
        new WorkRequest(
            requestId,
            group,
            kind,
            key,
            retry && kind.access() == Access.WRITE,
            nowNanos,
            nowNanos + TimeUnit.MILLISECONDS.toNanos(deadlineMillis),
            session.sessionId(),
            session.position(group),
            statements);
    return new ParsedWork(request, session, version.version());
  }

  private SessionToken session(FieldReader fields) {
    return fields.textOrTexts("session", MAX_TOKENS, MAX_TOKEN_CHARS).stream()
        .map(token -> codec.decode(token).getOrElseThrow(PollensparError::asException))
        .reduce(SessionToken::merged)
        .orElseThrow();
  }

  private static WorkKind kind(String name, FleetFile file) {
    WorkKind kind = file.kinds().get(name);
    if (kind == null) {
      throw unknownName(ErrorKind.UNKNOWN_KIND, name, file.kinds().keySet());
    }
    return kind;
  }

  private Optional<String> key(WorkKind kind, Optional<String> sentKey) {
    if (kind.access() == Access.READ) {
      return Optional.empty();
    }
    if (sentKey.isEmpty() && !kind.repeatable()) {
      throw PollensparError.of(ErrorKind.KEY_REQUIRED, kind.name()).asException();
    }
    return Optional.of(sentKey.orElseGet(newKey));
  }

  private static List<Statement> statements(FieldReader fields, WorkKind kind, int max) {
    List<Statement> statements = new ArrayList<>();
    for (JsonNode element : fields.elements("statements", max)) {
      String path = "statements[" + statements.size() + "]";
      FieldReader statement = new FieldReader(path, element, STATEMENT_FIELDS);
      String sql = statement.requiredText("sql", MAX_SQL_CHARS);
      StatementText.fault(sql)
          .ifPresent(
              fault -> {
                throw FieldReader.invalid(path + ".sql", fault);
              });
      if (kind.access() == Access.READ && !StatementText.isSelect(sql)) {
        throw PollensparError.of(ErrorKind.WRITE_IN_READ, kind.name()).asException();
      }
      long rows = statement.integer("expect_rows", Statement.ANY_ROWS, 0, Integer.MAX_VALUE);
      statements.add(new Statement(sql, (int) rows));
    }
    return statements;
  }

  private static PollensparException unknownName(
      ErrorKind kind, String name, Set<String> declared) {
    return PollensparError.of(kind, name, NearestName.suggestion(name, declared)).asException();
  }

  private static String describe(JsonProcessingException e) {
    String where =
        e.getLocation() == null
            ? ""
            : " at line "
                + e.getLocation().getLineNr()
                + ", column "
                + e.getLocation().getColumnNr();
    return e.getOriginalMessage() + where;
  }
}
