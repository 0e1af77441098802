package org.pollenspar.standin.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.net.request.HttpCall;
import org.pollenspar.net.request.HttpHandler;
import org.pollenspar.net.request.HttpReply;
import org.pollenspar.standin.connection.DatabaseFaults;
import org.pollenspar.standin.connection.SessionRegistry;
import org.pollenspar.standin.connection.StatementWorkers;
import org.pollenspar.standin.version.AppendRequest;
import org.pollenspar.standin.version.DatabaseEngine;
import org.pollenspar.standin.version.EngineCounters;

/**
 * The control API of a database over HTTP. {@code GET /status} and {@code POST /faults} are for
 * tests and always reachable. The other paths serve the platform and the other databases of the
 * group; the fault {@code cut_off} makes them reply with 503, as if the database were partitioned
 * from the network.
 */
final class DatabaseControlApi implements HttpHandler {
  private static final HttpReply CUT_OFF = HttpReply.json(503, "{\"error\": \"cut off\"}");
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ObjectMapper json = new ObjectMapper();
  private final DatabaseEngine engine;
  private final EngineCounters counters;
  private final DatabaseFaults faults;
  private final StatementWorkers serviceTime;
  private final SessionRegistry sessions;
  private final Replication replication;

  DatabaseControlApi(
      DatabaseEngine engine,
      EngineCounters counters,
      DatabaseFaults faults,
      StatementWorkers serviceTime,
      SessionRegistry sessions,
      Replication replication) {
    this.engine = engine;
    this.counters = counters;
    this.faults = faults;
    this.serviceTime = serviceTime;
    this.sessions = sessions;
    this.replication = replication;
  }

  @Override
  public CompletionStage<HttpReply> handle(HttpCall call) {
    try {
      return CompletableFuture.completedFuture(reply(call));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      ObjectNode error = json.createObjectNode().put("error", String.valueOf(e.getMessage()));
      return CompletableFuture.completedFuture(HttpReply.json(400, error.toString()));
    }
  }

  private HttpReply reply(HttpCall call) throws JsonProcessingException {
    switch (call.path()) {
      case "/status":
        return HttpReply.json(200, status().toString());
      case "/faults":
        changeFaults(json.readTree(call.body()));
        return HttpReply.json(200, "{}");
      default:
        return faults.partitioned ? CUT_OFF : internalReply(call);
    }
  }

  private HttpReply internalReply(HttpCall call) throws JsonProcessingException {
    switch (call.path()) {
      case "/state":
        return HttpReply.json(200, stateJson().toString());
      case "/fence":
        long term = json.readTree(call.body()).path("term").asLong();
        return stateReply(engine.fence(term));
      case "/promote":
        return stateReply(promote(json.readValue(call.body(), PromoteRequest.class)));
      case "/append":
        AppendRequest request = json.readValue(call.body(), AppendRequest.class);
        return HttpReply.json(
            200, json.writeValueAsString(engine.append(request, faults.lagMillis)));
      default:
        return HttpReply.json(404, "{\"error\": \"no such path\"}");
    }
  }

  /**
   * Makes the database the primary of a term and starts to replicate to its peers. A repeated
   * request for the term that it leads already is accepted without a restart of the senders.
   */
  boolean promote(PromoteRequest request) {
    boolean leading = engine.primaryTerm().filter(led -> led == request.term()).isPresent();
    boolean accepted = engine.promote(request.term());
    if (accepted && !leading) {
      replication.startSenders(request);
    }
    return accepted;
  }

  private HttpReply stateReply(boolean accepted) {
    return HttpReply.json(accepted ? 200 : 409, stateJson().toString());
  }

  private ObjectNode stateJson() {
    DatabaseState state = engine.state();
    return json.createObjectNode()
        .put("id", state.databaseId())
        .put("role", state.role().wireName())
        .put("fenced_term", state.fencedTerm())
        .put("log_term", state.logTerm())
        .put("offset", state.logOffset());
  }

  private ObjectNode status() {
    return stateJson()
        .put("connections", sessions.open())
        .put("max_connections_seen", sessions.maximum())
        .put("refused_connections", sessions.refused())
        .put("read_statements", counters.reads.sum())
        .put("write_statements", counters.writes.sum())
        .put("commits", counters.commits.sum())
        .put("rollbacks", counters.rollbacks.sum())
        .put("truncated_entries", counters.truncatedEntries.sum())
        .put("mixed_owner_transactions", counters.mixedOwners.sum())
        .put("key_records", engine.rowCount(DatabaseEngine.KEY_TABLE));
  }

  private void changeFaults(JsonNode faultsByName) {
    faultsByName.fields().forEachRemaining(field -> changeFault(field.getKey(), field.getValue()));
  }

  private void changeFault(String name, JsonNode value) {
    switch (name) {
      case "reject_connections" -> faults.rejectConnections = value.asBoolean();
      case "frozen" -> faults.frozen = value.asBoolean();
      case "cut_off" -> faults.partitioned = value.asBoolean();
      case "latency_ms" -> faults.latencyMillis = value.asLong();
      case "lag_ms" -> faults.lagMillis = value.asLong();
      case "service_ms" -> serviceTime.change((long) (value.asDouble() * NANOS_PER_MILLI));
      case "garbage_answers" -> faults.garbageAnswers.set(value.asInt());
      case "cut_answers" -> faults.truncatedAnswers.set(value.asInt());
      case "lost_commit_answers" -> faults.lostCommitAnswers.set(value.asInt());
      case "drop_connections" -> sessions.terminateAll();
      default -> throw new IllegalArgumentException("unknown fault \"" + name + "\"");
    }
  }
}
