package org.pollenspar.standin.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.pollenspar.net.request.HttpCall;
import org.pollenspar.net.request.HttpReply;
import org.pollenspar.standin.connection.DatabaseFaults;

/**
 * The group API of the platform over HTTP: reads the state of a group, fences its databases and
 * promotes one of them. {@link PlatformFaults} decide whether a call is refused, or whether its
 * reply is dropped after the change has been made.
 */
final class GroupApi {
  private static final HttpReply UNKNOWN_GROUP =
      HttpReply.json(404, "{\"error\": \"no such group\"}");

  private final ObjectMapper json = new ObjectMapper();
  private final Map<String, GroupAuthority> groups;
  private final PlatformFaults faults;
  private final CallCounters counters;
  private final Executor executor;

  GroupApi(
      Map<String, GroupAuthority> groups,
      PlatformFaults faults,
      CallCounters counters,
      Executor executor) {
    this.groups = groups;
    this.faults = faults;
    this.counters = counters;
    this.executor = executor;
  }

  CompletableFuture<HttpReply> handle(HttpCall call) throws JsonProcessingException {
    String[] parts = call.path().split("/", -1);
    GroupAuthority group = groups.get(parts[2]);
    String action = parts.length > 3 ? parts[3] : "read";
    counters.count("group_" + action);
    if (faults.groupsDown) {
      return CompletableFuture.completedFuture(KeyValueApi.SERVICE_DOWN);
    }
    if (group == null) {
      return CompletableFuture.completedFuture(UNKNOWN_GROUP);
    }
    JsonNode body =
        call.method().equals("POST") ? json.readTree(call.body()) : json.createObjectNode();
    CompletableFuture<HttpReply> reply =
        CompletableFuture.supplyAsync(() -> reply(parts[2], group, action, body), executor);
    return reply.thenCompose(
        response ->
            call.method().equals("POST") && DatabaseFaults.consume(faults.lostGroupAnswers)
                ? new CompletableFuture<>()
                : CompletableFuture.completedFuture(response));
  }

  private HttpReply reply(String name, GroupAuthority group, String action, JsonNode body) {
    return switch (action) {
      case "read" -> status(name, group);
      case "fence" -> fence(group, body);
      case "promote" -> promote(group, body);
      default -> UNKNOWN_GROUP;
    };
  }

  private HttpReply status(String name, GroupAuthority group) {
    List<DatabaseStateReport> states = group.states();
    ObjectNode root = json.createObjectNode().put("group", name).put("term", group.term());
    root.put("primary", group.primary().orElse(""));
    for (DatabaseStateReport state : states) {
      root.withArray("members").add(databaseJson(state));
    }
    return HttpReply.json(200, root.toString());
  }

  private HttpReply fence(GroupAuthority group, JsonNode body) {
    long term = body.required("term").asLong();
    if (!group.grantTerm(term, body.required("owner").asText())) {
      ObjectNode refusal = json.createObjectNode().put("error", "the term is not available");
      return HttpReply.json(409, refusal.put("term", group.term()).toString());
    }
    ObjectNode root = json.createObjectNode();
    root.putArray("fenced");
    group.fence(term).forEach(state -> root.withArray("fenced").add(databaseJson(state)));
    return HttpReply.json(200, root.toString());
  }

  private HttpReply promote(GroupAuthority group, JsonNode body) {
    GroupAuthority.PromotionResult verdict =
        group.promote(
            body.required("term").asLong(),
            body.required("owner").asText(),
            body.required("database").asText());
    return switch (verdict) {
      case DONE -> HttpReply.json(200, "{}");
      case REFUSED -> HttpReply.json(409, "{\"error\": \"the promotion is not allowed\"}");
      case UNREACHABLE -> HttpReply.json(503, "{\"error\": \"the database did not answer\"}");
    };
  }

  private ObjectNode databaseJson(DatabaseStateReport state) {
    return json.createObjectNode()
        .put("id", state.database().id())
        .put("host", state.database().address())
        .put("port", state.database().port())
        .put("reachable", state.reachable())
        .put("fenced_term", state.fencedTerm())
        .put("log_term", state.position().term())
        .put("offset", state.position().offset());
  }
}
