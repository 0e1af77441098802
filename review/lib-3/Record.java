import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with seconds since the start. */
final class Record {
  private final PrintWriter out;
  private final long started = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  double seconds() {
    return (System.nanoTime() - started) / 1e9;
  }

  synchronized void line(String text) {
    out.println(String.format("%8.3f %s", seconds(), text));
  }
}
