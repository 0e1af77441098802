package org.pollenspar.load.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The answer to one request.
 *
 * @param outcome what is known of the request
 * @param error name of the error; empty if done
 * @param token new session token; empty if none was returned
 * @param fromReplica whether a replica served the request
 * @param results result of each statement
 */
public record WorkAnswer(
    Outcome outcome, String error, String token, boolean fromReplica, JsonNode results) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** What is known of a request. */
  public enum Outcome {
    DONE,
    NOT_RUN,
    UNKNOWN
  }

  /** Returns an answer that carries no more than an outcome. */
  public static WorkAnswer of(Outcome outcome, String error) {
    return new WorkAnswer(outcome, error, "", false, MissingNode.getInstance());
  }

  /** Reads the body of an HTTP response; anything that is not understood is an unknown outcome. */
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
