package org.pollenspar.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;

/** Reads and prints JSON of other processes. */
final class Json {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /** Parses the answer of a process. */
  static Either<PollensparError, JsonNode> parse(String process, String text) {
    try {
      return Either.right(MAPPER.readTree(text));
    } catch (JsonProcessingException e) {
      return Either.left(
          PollensparError.of(
              ErrorKind.PEER_UNAVAILABLE, process, "no JSON: " + e.getOriginalMessage()));
    }
  }

  static String pretty(JsonNode node) {
    return node.toPrettyString();
  }
}
