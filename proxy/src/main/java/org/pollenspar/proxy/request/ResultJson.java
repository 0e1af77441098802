package org.pollenspar.proxy.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.ResultTable;

/**
 * JSON encoding of results: for callers, and for the column {@code result} of idempotency records.
 */
public final class ResultJson {
  private static final JsonMapper MAPPER = JsonMapper.builder().build();
  private static final String NOT_RUN = "not_run";
  private static final String RESULTS = "results";

  private ResultJson() {}

  /** Encodes each table as an object with its columns, rows and number of updated rows. */
  static ArrayNode array(List<ResultTable> tables) {
    ArrayNode array = MAPPER.createArrayNode();
    for (ResultTable table : tables) {
      ObjectNode node = array.addObject();
      ArrayNode columns = node.putArray("columns");
      table.columns().forEach(columns::add);
      ArrayNode rows = node.putArray("rows");
      for (List<@Nullable String> row : table.rows()) {
        ArrayNode cells = rows.addArray();
        row.forEach(cells::add);
      }
      node.put("updated", table.updated());
    }
    return array;
  }

  /** Encodes the results of a write that was done, for its idempotency record. */
  public static String record(List<ResultTable> tables) {
    ObjectNode node = MAPPER.createObjectNode();
    node.set(RESULTS, array(tables));
    return node.toString();
  }

  /** Encodes the error of a write that was refused and can no longer run, for its record. */
  public static String record(PollensparError error) {
    ObjectNode node = MAPPER.createObjectNode();
    node.putObject(NOT_RUN).put("number", error.kind().number()).put("message", error.message());
    return node.toString();
  }

  /**
   * Parses the result column of an idempotency record.
   *
   * @return the results, or the error of a write that was refused; empty if the text has another
   *     format
   */
  public static Optional<Either<PollensparError, List<ResultTable>>> parseRecord(String text) {
    try {
      JsonNode node = MAPPER.readTree(text);
      if (node.has(NOT_RUN)) {
        return error(node.get(NOT_RUN)).map(Either::left);
      }
      return node.path(RESULTS).isArray()
          ? Optional.of(Either.right(tables(node.get(RESULTS))))
          : Optional.empty();
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  private static Optional<PollensparError> error(JsonNode node) {
    return ErrorKind.ofNumber(node.path("number").asInt())
        .map(kind -> new PollensparError(kind, node.path("message").asText()));
  }

  private static List<ResultTable> tables(JsonNode array) {
    List<ResultTable> tables = new ArrayList<>();
    for (JsonNode node : array) {
      List<String> columns = new ArrayList<>();
      node.path("columns").forEach(column -> columns.add(column.asText()));
      List<List<@Nullable String>> rows = new ArrayList<>();
      for (JsonNode row : node.path("rows")) {
        List<@Nullable String> cells = new ArrayList<>();
        row.forEach(cell -> cells.add(cell.isNull() ? null : cell.asText()));
        rows.add(cells);
      }
      tables.add(new ResultTable(columns, rows, node.path("updated").asLong()));
    }
    return tables;
  }
}
