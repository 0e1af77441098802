package org.pollenspar.core.version;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;

/**
 * Parses and checks the file that operators apply.
 *
 * <p>A syntax error ends the parse, since the library stops at the first. All other errors are
 * collected, so that an operator corrects a file in one round.
 */
public final class FleetFileParser {
  /** Largest file accepted; the platform stores values up to this size. */
  public static final int MAX_BYTES = 1_000_000;

  private static final TomlMapper MAPPER = new TomlMapper();

  /**
   * Parses a file.
   *
   * @param fileName name for error messages
   * @param text the TOML text
   * @return the file, or every error found
   */
  public Either<List<PollensparError>, FleetFile> parse(String fileName, String text) {
    int bytes = text.getBytes(StandardCharsets.UTF_8).length;
    if (bytes > MAX_BYTES) {
      return refuse(PollensparError.of(ErrorKind.FILE_TOO_LARGE, fileName, bytes, MAX_BYTES));
    }
    try {
      JsonNode root = MAPPER.readTree(text);
      return new FleetFileChecker(fileName).check(root);
    } catch (JacksonException e) {
      return refuse(syntaxError(fileName, text, e));
    }
  }

  private static PollensparError syntaxError(String fileName, String text, JacksonException e) {
    JsonLocation location = e.getLocation();
    int line = location == null ? 1 : Math.max(1, location.getLineNr());
    String reason = e.getOriginalMessage().replaceAll("\\s+", " ").strip();
    if (reason.contains("Duplicate key") || reason.contains("redefined")) {
      boolean atLineStart = location != null && location.getColumnNr() <= 1;
      List<String> lines = text.lines().toList();
      int declaration = atLineStart ? lastDeclaration(lines, line - 1) : line;
      String where = fileName + ", line " + declaration;
      return PollensparError.of(
          ErrorKind.DUPLICATE_NAME, where, lines.get(declaration - 1).strip());
    }
    return PollensparError.of(ErrorKind.FILE_SYNTAX, fileName, line, reason);
  }

  /** The library reports a repeated key at the token that follows it, on a later line. */
  private static int lastDeclaration(List<String> lines, int line) {
    int current = Math.min(line, lines.size());
    while (current > 1 && lines.get(current - 1).replaceAll("#.*", "").isBlank()) {
      current--;
    }
    return Math.max(1, current);
  }

  private static Either<List<PollensparError>, FleetFile> refuse(PollensparError error) {
    return Either.left(List.of(error));
  }
}
