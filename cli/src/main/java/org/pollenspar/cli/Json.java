package org.pollenspar.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;

/** Parses and formats JSON that other processes send. */
final class Json {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /** Parses an answer; the error names the process that sent it. */
  static Either<PollensparError, JsonNode> parse(String process, String text) {
    try {
      return Either.right(MAPPER.readTree(text));
    } catch (JsonProcessingException e) {
      return Either.left(
          PollensparError.of(
              ErrorKind.PEER_UNAVAILABLE,
              process,
              "the answer is not valid JSON: " + e.getOriginalMessage()));
    }
  }

  static String pretty(JsonNode node) {
    return node.toPrettyString();
  }
}
