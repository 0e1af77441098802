package org.pollenspar.load.request;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * One request with its placeholders filled in.
 *
 * @param kind kind of work
 * @param group group of databases that runs the statements
 * @param key idempotency key; empty for reads and other requests without one
 * @param echo literal that no other request uses; a read returns it in the first column, so rows
 *     that belong to another request are detected
 * @param deadlineMillis deadline sent with the request
 * @param statements statements to run in order
 */
public record LoadRequest(
    String kind,
    String group,
    String key,
    String echo,
    int deadlineMillis,
    List<StatementTemplate> statements) {

  /** Copies the list. */
  public LoadRequest {
    statements = List.copyOf(statements);
  }

  /** Creates a request of a kind; {@code values} holds the placeholders' values by name. */
  public static LoadRequest of(KindPlan plan, String group, Map<String, String> values) {
    List<StatementTemplate> filled =
        plan.statements().stream()
            .map(s -> new StatementTemplate(fill(s.sql(), values), s.expectRows()))
            .toList();
    String key = plan.check().writes() ? values.getOrDefault("key", "") : "";
    String echo = values.getOrDefault("echo", "");
    return new LoadRequest(plan.kind(), group, key, echo, plan.deadlineMillis(), filled);
  }

  private static String fill(String sql, Map<String, String> values) {
    String filled = sql;
    for (Map.Entry<String, String> value : values.entrySet()) {
      filled = filled.replace("{" + value.getKey() + "}", value.getValue());
    }
    return filled;
  }

  /**
   * Returns whether the request has a key. Only then can it be sent again to settle its outcome.
   */
  public boolean hasKey() {
    return !key.isEmpty();
  }

  /** Returns the JSON body of the HTTP request. */
  public String body(Collection<String> tokens, boolean retry) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    ArrayNode session = root.putArray("session");
    tokens.forEach(session::add);
    root.put("group", group).put("kind", kind).put("deadline_ms", deadlineMillis);
    if (hasKey()) {
      root.put("key", key).put("retry", retry);
    }
    ArrayNode list = root.putArray("statements");
    for (StatementTemplate statement : statements) {
      ObjectNode node = list.addObject().put("sql", statement.sql());
      if (statement.expectRows() != StatementTemplate.ANY_ROWS) {
        node.put("expect_rows", statement.expectRows());
      }
    }
    return root.toString();
  }
}
