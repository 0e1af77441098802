package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file record.txt of a case: one line for each event, with milliseconds since the start. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes a line. */
  synchronized void line(String text) {
    out.printf("%8d %s%n", millis(), text);
    out.flush();
  }

  /** Writes a line and prints it. */
  void note(String text) {
    line(text);
    System.out.println(text);
  }

  @Override
  public void close() {
    out.close();
  }
}
