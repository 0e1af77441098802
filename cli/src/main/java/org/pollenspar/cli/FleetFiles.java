package org.pollenspar.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.version.FleetFile;
import org.pollenspar.core.version.FleetFileParser;

/** Reads and checks the fleet files that operators pass on the command line. */
final class FleetFiles {
  private FleetFiles() {}

  /**
   * A fleet file without errors.
   *
   * @param text the file in TOML
   * @param file the parsed content
   */
  record LoadedFile(String text, FleetFile file) {}

  /** Reads a fleet file, or returns every error in it. */
  static Either<List<PollensparError>, LoadedFile> load(String name) {
    if (name.isEmpty()) {
      throw CliContext.invalidOption("No FILE was given");
    }
    try {
      Path path = Path.of(name);
      long size = Files.size(path);
      if (size > FleetFileParser.MAX_BYTES) {
        return failure(ErrorKind.FILE_TOO_LARGE, name, size, FleetFileParser.MAX_BYTES);
      }
      String text = Files.readString(path, StandardCharsets.UTF_8);
      return new FleetFileParser().parse(name, text).map(file -> new LoadedFile(text, file));
    } catch (CharacterCodingException e) {
      return failure(ErrorKind.FILE_UNREADABLE, name, "it is not UTF-8 text");
    } catch (IOException | InvalidPathException e) {
      return failure(ErrorKind.FILE_UNREADABLE, name, e.toString());
    }
  }

  private static Either<List<PollensparError>, LoadedFile> failure(
      ErrorKind kind, Object... arguments) {
    return Either.left(List.of(PollensparError.of(kind, arguments)));
  }

  static ExitCode reportErrors(CliContext context, List<PollensparError> errors) {
    errors.forEach(context::reportError);
    return ExitCode.BAD_INPUT;
  }
}
