package org.pollenspar.net.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a SIGHUP that ends a program while it starts. */
class LauncherHangupTest {
  @TempDir private Path folder;

  /** A program that ends once its settings are read. */
  static final class Program {
    public static void main(String[] args) {
      Launcher launcher = new Launcher(ProgramName.PROXY, System.out, System.err);
      Runtime.getRuntime().halt(launcher.run(args, settings -> {}));
    }
  }

  /** Lets the writer open the pipe although the program has ended before it did. */
  private static void unblockWriter(Path pipe) {
    try (FileInputStream reader = new FileInputStream(pipe.toFile())) {
      assertTrue(reader.read() < 0);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns whether the tests were started with SIGHUP ignored, which programs inherit. */
  private static boolean hangupsIgnored() throws IOException {
    try (Stream<String> lines = Files.lines(Path.of("/proc/self/status"))) {
      return lines.anyMatch(line -> line.matches("SigIgn:\\s+\\w*[13579bdf]"));
    }
  }

  /** The settings file is a pipe, so that the signal comes while the program reads it. */
  @Test
  void aHangupIsReportedAndTheStartGoesOn() throws Exception {
    Path pipe = folder.resolve("pipe");
    assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
    Process program =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                Program.class.getName(),
                "--settings",
                pipe.toString())
            .redirectErrorStream(true)
            .start();
    program.onExit().thenRun(() -> unblockWriter(pipe));
    String output = "";
    try (BufferedReader reader = program.inputReader();
        OutputStream writer = new FileOutputStream(pipe.toFile())) {
      new ProcessBuilder("kill", "-HUP", String.valueOf(program.pid())).start().waitFor();
      output = hangupsIgnored() ? "" : String.valueOf(reader.readLine());
      writer.write("id = \"p1\"".getBytes());
    } catch (IOException e) {
      // The program has ended and reads no more; its exit code is checked.
      output += e;
    } finally {
      assertTrue(program.waitFor(1, TimeUnit.MINUTES));
    }
    assertTrue(hangupsIgnored() || output.contains("SIGHUP ignored"), output);
    assertEquals(Launcher.EXIT_USAGE, program.exitValue());
  }
}
