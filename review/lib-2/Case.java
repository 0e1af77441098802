import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What every case needs: the record, free ports, threads, and the exit codes 0, 1 and 2. */
abstract class Case {
  private static final long START = System.nanoTime();
  private static final List<Integer> PORTS = new ArrayList<>();
  private static PrintWriter record;

  /** Whether the disruption is played. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  /** The case could not run; it says nothing about the rule. */
  static final class CannotRun extends Exception {
    private static final long serialVersionUID = 1;

    CannotRun(String reason) {
      super(reason);
    }
  }

  /** Plays the case; returns whether the rule was kept. */
  abstract boolean play(Path folder) throws Exception;

  /** Runs a case: the arguments are the folder of the record and a folder for temporary files. */
  static void run(Case played, String[] arguments) {
    int code;
    Runtime.getRuntime().addShutdownHook(new Thread(Host::killAll));
    try {
      record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0], "record.txt")));
      note("disruption " + (TROUBLE ? "on" : "off"));
      code = played.play(Path.of(arguments[1])) ? 0 : 1;
      note(code == 0 ? "RESULT: the rule was kept" : "RESULT: the rule was broken");
    } catch (CannotRun e) {
      note("RESULT: the case could not run: " + e.getMessage());
      code = 2;
    } catch (Exception e) {
      note("RESULT: the case could not run: " + e);
      e.printStackTrace();
      code = 2;
    }
    Host.killAll();
    if (record != null) {
      record.close();
    }
    System.exit(code);
  }

  /** Milliseconds since the case began. */
  static long now() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static synchronized void note(String text) {
    String line = String.format("%7d ms  %s", now(), text);
    System.out.println(line);
    if (record != null) {
      record.println(line);
      record.flush();
    }
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void pauseUntil(long millis) {
    pause(Math.max(0, millis - now()));
  }

  static Thread background(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Returns a free port below the ports that the system gives to outgoing connections. */
  static synchronized int freePort() throws IOException {
    int first = 11_000 + (int) (ProcessHandle.current().pid() * 7 % 60) * 300;
    for (int port = first; port < first + 3_000; port++) {
      if (PORTS.contains(port)) {
        continue;
      }
      try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        PORTS.add(port);
        return port;
      } catch (IOException e) {
        // In use; the next one is tried.
      }
    }
    throw new IOException("no free port");
  }
}
