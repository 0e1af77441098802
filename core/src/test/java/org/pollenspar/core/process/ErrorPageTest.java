package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against errors that operators cannot look up in {@code docs/ERRORS.md}, and against reused
 * error numbers.
 */
class ErrorPageTest {
  private static final Path PAGE = Path.of("..", "docs", "ERRORS.md");

  @Nested
  class Page {

    @Test
    void listsEveryErrorWithItsRemedy() throws IOException {
      if (Boolean.getBoolean("pollenspar.update-docs")) {
        Files.writeString(PAGE, page());
      }
      assertEquals(page(), Files.readString(PAGE), "run with -Dpollenspar.update-docs=true");
    }
  }

  @Nested
  class Numbers {

    @Test
    void areUnique() {
      long distinct = Arrays.stream(ErrorKind.values()).map(ErrorKind::number).distinct().count();
      assertEquals(ErrorKind.values().length, distinct);
    }
  }

  private static String page() {
    String rows =
        Arrays.stream(ErrorKind.values()).map(ErrorPageTest::row).collect(Collectors.joining("\n"));
    return """
    # Errors

    Generated from `ErrorKind`. `{0}` and so on stand for the details of the occurrence.
    Every message ends with the remedy. Numbers are stable.

    | number | name | severity | HTTP status | message |
    | --- | --- | --- | --- | --- |
    """
        + rows
        + "\n";
  }

  private static String row(ErrorKind kind) {
    return "| %d | `%s` | %s | %d | %s |"
        .formatted(
            kind.number(),
            kind.name(),
            kind.severity().name().toLowerCase(java.util.Locale.ROOT),
            kind.httpStatus(),
            kind.template().replace("''", "'").replace("|", "\\|"));
  }
}
