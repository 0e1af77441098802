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
 * Parses and checks the fleet file, the TOML file that operators apply.
 *
 * <p>Only the first syntax error is reported, since the TOML library stops there. All other errors
 * are collected, so that an operator can correct a file in one pass.
 */
public final class FleetFileParser {
  /** Maximum size of a file; the platform stores values up to this size. */
  public static final int MAX_BYTES = 1_000_000;

  private static final TomlMapper MAPPER = new TomlMapper();

  /**
   * Parses a file.
   *
   * @param fileName name of the file, for error messages
   * @param text content of the file
   * @return the fleet file, or all errors found
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

  /**
   * Returns the line of a repeated key, given the line on which the TOML library reports it. The
   * library reports the token that follows the key, which may stand after blank lines and comments.
   */
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
