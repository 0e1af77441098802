package org.pollenspar.load.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The outcome of one request, read from the HTTP response or set by the client.
 *
 * @param outcome whether the request was done, was not run, or may have run
 * @param error name of the error; empty if the request was done
 * @param token new session token; empty if none was returned
 * @param fromReplica whether a replica served the request
 * @param results result of each statement
 */
public record WorkAnswer(
    Outcome outcome, String error, String token, boolean fromReplica, JsonNode results) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Whether a request took effect. */
  public enum Outcome {
    DONE,
    NOT_RUN,
    /** The request may have run: no response, or one that does not tell the outcome. */
    UNKNOWN
  }

  /** Creates an answer without token and results. */
  public static WorkAnswer of(Outcome outcome, String error) {
    return new WorkAnswer(outcome, error, "", false, MissingNode.getInstance());
  }

  /** Parses the body of an HTTP response; a body that cannot be parsed has an unknown outcome. */
  public static WorkAnswer read(int status, String body) {
    try {
      JsonNode root = JSON.readTree(body);
      String outcome = root.path("outcome").asText();
      if (status == 200 && outcome.equals("done")) {
        return new WorkAnswer(
            Outcome.DONE,
            "",
            root.path("session").asText(""),
            root.path("role").asText().equals("replica"),
            root.path("results"));
      }
      String error = root.path("error").path("name").asText("STATUS_" + status);
      return of(outcome.equals("not_run") ? Outcome.NOT_RUN : Outcome.UNKNOWN, error);
    } catch (JsonProcessingException e) {
      return of(Outcome.UNKNOWN, "MALFORMED_ANSWER");
    }
  }

  /** Returns the rows of a statement as texts; a null cell becomes an empty text. */
  public List<List<String>> rows(int statement) {
    List<List<String>> rows = new ArrayList<>();
    for (JsonNode row : results.path(statement).path("rows")) {
      List<String> cells = new ArrayList<>();
      row.forEach(cell -> cells.add(cell.asText("")));
      rows.add(cells);
    }
    return rows;
  }
}
