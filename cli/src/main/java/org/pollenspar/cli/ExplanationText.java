package org.pollenspar.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.StringJoiner;

/** Formats the explanation of an edge host as text. */
final class ExplanationText {
  private ExplanationText() {}

  static String of(JsonNode answer) {
    StringBuilder text = new StringBuilder();
    line(
        text,
        "host",
        "%s (domain %s), %s, configuration %s"
            .formatted(
                answer.path("host").asText(),
                answer.path("domain").asText(),
                answer.path("ready").asBoolean() ? "ready" : "not ready",
                answer.path("configuration_version").asText()));
    line(text, "request", answer.path("kind").asText() + " on " + route(answer));
    organisation(text, answer.path("organisation"));
    primary(text, answer.path("primary"));
    homes(text, answer);
    databases(text, answer.path("databases"));
    if (answer.path("chosen").isTextual()) {
      line(text, "chosen", answer.path("chosen").asText() + ": " + reason(answer.path("reason")));
    }
    for (JsonNode refusal : answer.path("refusals")) {
      line(text, "refused", refusal.path("code").asText() + " " + refusal.path("text").asText());
    }
    return text.toString();
  }

  private static void line(StringBuilder text, String label, String value) {
    text.append("%-13s %s%n".formatted(label, value));
  }

  /** Returns the name of a reason in lower-case words. */
  private static String reason(JsonNode name) {
    return name.isTextual() ? name.asText().toLowerCase(Locale.ROOT).replace('_', ' ') : "-";
  }

  private static String route(JsonNode answer) {
    String database = answer.path("database").asText();
    JsonNode route = answer.path("route");
    if (!route.isObject()) {
      return database + ", which has no route";
    }
    return "%s: route %s, group %s, reads %s, priority %s, objective %s ms"
        .formatted(
            database,
            route.path("name").asText(),
            route.path("group").asText(),
            reason(route.path("reads")),
            route.path("priority").asText(),
            route.path("target_latency_ms").asText());
  }

  private static void organisation(StringBuilder text, JsonNode organisation) {
    if (!organisation.isObject()) {
      return;
    }
    JsonNode limit = organisation.path("limit");
    line(
        text,
        "organisation",
        organisation.path("name").asText()
            + (limit.isObject()
                ? ", %s operations/s, burst %s, coordinators %s"
                    .formatted(
                        limit.path("rate_per_s").asText(),
                        limit.path("burst").asText(),
                        coordinators(organisation))
                : ", no limit"));
  }

  private static String coordinators(JsonNode organisation) {
    StringJoiner names = new StringJoiner(", ");
    organisation.path("coordinators").forEach(name -> names.add(name.asText()));
    return names.toString();
  }

  private static void primary(StringBuilder text, JsonNode primary) {
    if (primary.isObject()) {
      line(
          text,
          "primary",
          "%s in term %s: %s; this host may use primaries for %s ms"
              .formatted(
                  primary.path("database").asText("none known"),
                  primary.path("term").asText("-"),
                  reason(primary.path("use")),
                  primary.path("confirmed_for_ms").asText()));
    }
  }

  private static void homes(StringBuilder text, JsonNode answer) {
    JsonNode homes = answer.path("homes");
    if (!homes.isObject()) {
      return;
    }
    line(text, "home", homes.path("chosen").asText("none") + ": " + reason(homes.path("reason")));
    int number = 1;
    for (JsonNode home : homes.path("order")) {
      String avoided =
          home.path("avoided").isTextual() ? ", avoided: " + reason(home.path("avoided")) : "";
      line(
          text,
          "  " + number++,
          home.path("name").asText() + " (domain " + home.path("domain").asText() + ")" + avoided);
    }
    if (!answer.has("databases") && homes.path("chosen").isTextual()) {
      line(text, "databases", "ask the home, which decides");
    }
  }

  private static void databases(StringBuilder text, JsonNode databases) {
    if (databases.size() == 0) {
      return;
    }
    TextTable table =
        new TextTable(
            "DATABASE",
            "ROLE",
            "DOMAIN",
            "REGION",
            "ANSWERS",
            "EXPECTED",
            "COMPARED",
            "PART",
            "REFUSAL");
    for (JsonNode each : databases) {
      table.row(
          each.path("id").asText(),
          each.path("role").asText(),
          each.path("domain").asText(),
          each.path("region").asText().isEmpty() ? "-" : each.path("region").asText(),
          each.path("can_answer").asBoolean() ? "yes" : "no: " + reason(each.path("obstacle")),
          each.path("expected_ms").asText() + " ms",
          each.has("compared_ms") ? each.path("compared_ms").asText() + " ms" : "-",
          Math.round(100 * each.path("part").asDouble()) + " %",
          refusal(each));
    }
    text.append(table.text());
  }

  private static String refusal(JsonNode database) {
    String byBroker = database.path("permit_needed").asBoolean() ? "decided by its broker" : "-";
    return database.path("refusal").asText(byBroker);
  }
}
