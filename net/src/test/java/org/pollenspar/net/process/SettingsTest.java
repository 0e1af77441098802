package org.pollenspar.net.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against settings that are silently ignored or misread, and against error messages that do
 * not say which setting is wrong and what is allowed.
 */
class SettingsTest {
  private static final String VALID =
      """
      id = "p1"
      address = "127.0.0.1"
      http_port = 8001
      peer_port = 8002
      admin_port = 8003
      domain = "d1"
      region = "r1"
      platform_url = "http://127.0.0.1:9000"
      session_secret = "0123456789abcdef0123456789abcdef"
      """;

  /** Guards against errors that name the wrong key or line. */
  @Nested
  class Reading {
    @Test
    void aValidFileGivesValuesAndDefaults() {
      ProcessSettings settings = SettingsReader.parse(ProgramName.PROXY, "f", VALID).get();
      assertEquals("p1", settings.text(Setting.ID));
      assertEquals(8002, settings.listenAddress(Setting.PEER_PORT).getPort());
      assertEquals(30_000, settings.number(Setting.DRAIN_TIMEOUT_MS));
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "id = \"p1\" | idd = \"p1\" | 503 f: unknown key \"idd\", did you mean \"id\"?",
          "id = \"p1\" | # | 506 f: key \"id\" is missing",
          "id = \"p1\" | id = 7 | 504 f: key \"id\" must be a name",
          "id = \"p1\" | id = \"a b\" | 504 f: key \"id\" must be a name",
          "http_port = 8001 | http_port = 70000 | 505 f: key \"http_port\" is 70000, allowed is 1"
              + " to",
          "http_port = 8001 | http_port = 1.5 | 504 f: key \"http_port\" must be an integer",
          "http_port = 8001 | http_port = 8002 | 602 Settings f: two listeners have the same port",
          "\"127.0.0.1\" | \"localhost\" | 504 f: key \"address\" must be an IP number",
          "http://127.0.0.1:9000 | ftp://x | 504 f: key \"platform_url\" must be a URL",
          "0123456789abcdef0123 | 0 | 505 f: key \"session_secret\" is 13 characters long",
          "domain = \"d1\" | domain = \"d1 | 502 File f, line 6:",
          "domain = \"d1\" | log_format = \"xml\" | 504 f: key \"log_format\" must be \"text\" or",
        })
    void eachMistakeIsNamed(String find, String replacement, String expected) {
      var errors =
          SettingsReader.parse(ProgramName.PROXY, "f", VALID.replace(find, replacement)).getLeft();
      assertTrue(
          errors.stream()
              .anyMatch(e -> (e.kind().number() + " " + e.message()).startsWith(expected)),
          errors.toString());
    }

    @Test
    void theReferenceMatchesTheTable() throws Exception {
      assertEquals(Launcher.reference(), Files.readString(Path.of("../docs/SETTINGS.md")));
    }
  }

  /** Guards against wrong exit codes and against a start with bad settings. */
  @Nested
  class Launching {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final Launcher launcher =
        new Launcher(ProgramName.FAILOVER, new PrintStream(out), new PrintStream(err));

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "--help | 0 | platform_url | ''",
          "--version | 0 | pollenspar-failover | ''",
          "'' | 2 | '' | --settings",
          "--bad | 2 | '' | error 601",
          "--settings /nonexistent | 2 | '' | error 501",
        })
    void optionsDecideTheExitCode(String options, int code, String onOut, String onErr) {
      String[] args = options.isEmpty() ? new String[0] : options.split(" ");
      int result =
          launcher.run(
              args,
              settings -> {
                throw new AssertionError("started");
              });
      assertEquals(code, result);
      assertTrue(
          out.toString(StandardCharsets.UTF_8).contains(onOut),
          out.toString(StandardCharsets.UTF_8));
      assertTrue(
          err.toString(StandardCharsets.UTF_8).contains(onErr),
          err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void aFailureOfTheProgramIsExitCodeOne(@TempDir Path directory) throws Exception {
      Path file = directory.resolve("f.toml");
      String text = VALID.replaceAll("http_port.*\n|session_secret.*\n", "");
      Files.writeString(file, text + "log_format = \"json\"\n");
      String[] args = {"--settings", file.toString()};
      assertEquals(0, launcher.run(args, settings -> {}));
      int code =
          launcher.run(
              args,
              settings -> {
                throw new IllegalStateException("program failed");
              });
      assertEquals(1, code);
      assertTrue(err.toString(StandardCharsets.UTF_8).contains("program failed"));
    }
  }
}
