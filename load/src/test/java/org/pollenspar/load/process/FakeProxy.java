package org.pollenspar.load.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.pollenspar.net.process.HttpService;
import org.pollenspar.net.request.HttpCall;
import org.pollenspar.net.request.HttpReply;
import org.pollenspar.standin.request.QueryResult;
import org.pollenspar.standin.request.SqlException;
import org.pollenspar.standin.request.SqlParser;
import org.pollenspar.standin.request.SqlStatement.OwnedStatement;
import org.pollenspar.standin.version.DatabaseEngine;
import org.pollenspar.standin.version.EngineCounters;
import org.pollenspar.standin.version.Transaction;

/** Serves requests like a proxy in front of one database, with a fault that a test chooses. */
final class FakeProxy implements AutoCloseable {
  /** What the proxy does wrong. */
  enum Fault {
    NONE,
    /** Runs a write and reports the outcome of the first attempt as unknown. */
    UNKNOWN_FIRST,
    /** Runs a write and does not answer the first attempt. */
    NO_ANSWER_FIRST,
    /** Answers every request of the load as not run. */
    REFUSES,
    /** Returns 0 as the value of every counter. */
    STALE_COUNTER,
    /** Returns the rows of a lookup with the echo of another request. */
    FOREIGN_ROW,
    /** Returns a lookup without its rows. */
    HALF_ROWS,
    /** Rolls a redemption back and reports it as done. */
    LOST_REDEMPTION,
    /** Runs a redemption twice, the second time under another key. */
    REDEMPTION_RUN_TWICE,
    /** Runs only the first statement of a redemption. */
    HALF_TRANSACTION,
    /** Runs a redemption and reports it as not run. */
    RUN_BUT_NOT_RUN,
    /** Runs a counter write and reports it as not run. */
    COUNTER_RUN_BUT_NOT_RUN
  }

  private final ObjectMapper json = new ObjectMapper();
  private final DatabaseEngine engine =
      new DatabaseEngine("d", 1000, new EngineCounters(), () -> 1, () -> {});
  private final Map<String, String> answersByKey = new HashMap<>();
  private final Fault fault;
  private final HttpService http;

  FakeProxy(Fault fault) {
    this.fault = fault;
    engine.promote(1);
    http =
        new HttpService(
            "fake-proxy",
            new InetSocketAddress("127.0.0.1", 0),
            1 << 20,
            Duration.ofSeconds(10),
            2,
            this::handle);
    http.start();
  }

  String url() {
    return "http://127.0.0.1:" + http.port();
  }

  private synchronized CompletionStage<HttpReply> handle(HttpCall call) {
    if (call.path().equals("/v1/sessions")) {
      return CompletableFuture.completedFuture(HttpReply.json(201, "{\"session\": \"t\"}"));
    }
    try {
      return work(json.readTree(call.body()));
    } catch (JsonProcessingException | SqlException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletionStage<HttpReply> work(JsonNode body) throws SqlException {
    String kind = body.path("kind").asText();
    String key = body.path("key").asText("");
    boolean setup = kind.equals("setup") || kind.equals("verify");
    String answer = answersByKey.get(key);
    if (fault == Fault.REFUSES && !setup) {
      return notRun();
    }
    boolean first = answer == null;
    if (answer == null) {
      answer = run(body, kind);
      if (!key.isEmpty()) {
        answersByKey.put(key, answer);
      }
    }
    boolean write = !key.isEmpty() && !setup;
    if (write && first && fault == Fault.UNKNOWN_FIRST) {
      return CompletableFuture.completedFuture(
          HttpReply.json(504, "{\"outcome\": \"unknown\", \"error\": {\"name\": \"X\"}}"));
    }
    if (write && first && fault == Fault.NO_ANSWER_FIRST) {
      return new CompletableFuture<>();
    }
    boolean reportNotRun =
        (fault == Fault.RUN_BUT_NOT_RUN && kind.equals("redeem"))
            || (fault == Fault.COUNTER_RUN_BUT_NOT_RUN && kind.equals("count"));
    return reportNotRun ? notRun() : CompletableFuture.completedFuture(HttpReply.json(200, answer));
  }

  private static CompletionStage<HttpReply> notRun() {
    return CompletableFuture.completedFuture(
        HttpReply.json(429, "{\"outcome\": \"not_run\", \"error\": {\"name\": \"QUEUE_FULL\"}}"));
  }

  private String run(JsonNode body, String kind) throws SqlException {
    boolean redeem = kind.equals("redeem");
    Transaction transaction = engine.begin(false);
    ObjectNode answer = json.createObjectNode().put("outcome", "done");
    answer.put("session", "t").put("role", "replica");
    ArrayNode results = answer.putArray("results");
    int executed = 0;
    for (JsonNode statement : body.path("statements")) {
      boolean skipped = redeem && fault == Fault.HALF_TRANSACTION && executed > 0;
      if (!skipped) {
        for (OwnedStatement owned : SqlParser.parse(statement.path("sql").asText())) {
          write(results.addObject(), engine.execute(transaction, owned.statement(), ""), kind);
        }
      }
      executed++;
    }
    if (redeem && fault == Fault.REDEMPTION_RUN_TWICE) {
      String insert = body.path("statements").path(1).path("sql").asText();
      String secondInsert = insert.replace("VALUES ('", "VALUES ('again-");
      engine.execute(transaction, SqlParser.parse(secondInsert).get(0).statement(), "");
      String update = body.path("statements").path(0).path("sql").asText();
      engine.execute(transaction, SqlParser.parse(update).get(0).statement(), "");
    }
    if (redeem && fault == Fault.LOST_REDEMPTION) {
      engine.rollback(transaction);
    } else {
      engine.commit(transaction);
    }
    return answer.toString();
  }

  private void write(ObjectNode node, QueryResult result, String kind) {
    ArrayNode rows = node.putArray("rows");
    if (kind.equals("lookup") && fault == Fault.HALF_ROWS) {
      return;
    }
    for (var row : result.rows()) {
      ArrayNode cells = rows.addArray();
      for (int i = 0; i < row.size(); i++) {
        boolean echo = i == 0 && fault == Fault.FOREIGN_ROW && kind.equals("lookup");
        boolean counter = i == 1 && fault == Fault.STALE_COUNTER && kind.equals("count_read");
        cells.add(echo ? "another" : counter ? "0" : row.get(i));
      }
    }
  }

  @Override
  public void close() {
    http.close();
  }
}
