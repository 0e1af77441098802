import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An edge process, started with the run line of the deploy file. */
final class Edge {
  final String name;
  final int callers;
  final int probes;
  final int fleet;
  final Path log;
  final Path settings;
  Process process;

  Edge(Path folder, String name, String store, int graceSeconds) throws IOException {
    this.name = name;
    callers = freePort();
    probes = freePort();
    fleet = freePort();
    log = folder.resolve(name + ".log");
    settings = folder.resolve(name + ".toml");
    Files.writeString(
        settings,
        """
        [host]
        name = "%s"
        ip = "127.0.0.1"
        domain = "zone-a"
        processor = 0.51
        region = "region-a"
        [listen]
        callers = "127.0.0.1:%d"
        probes = "127.0.0.1:%d"
        fleet = %d
        [platform]
        store = "%s"
        promotions = "%s"
        [configuration]
        apply_ms = 3000
        [stop]
        grace_s = %d
        [limits]
        quota_window_s = ""
        quota_slack = ""
        quota_excess = ""
        [regions]
        "zone-a" = "region-a"
        """
            .formatted(name, callers, probes, fleet, store, store, graceSeconds));
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  void start() throws IOException {
    String run =
        Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
            .findFirst()
            .orElseThrow();
    List<String> command = Arrays.asList(run.split(" "));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("POLLENSPAR_BOOT", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
  }

  boolean ready() {
    try {
      var connection =
          (HttpURLConnection)
              URI.create("http://127.0.0.1:" + probes + "/pollenspar/readyz")
                  .toURL()
                  .openConnection();
      connection.setConnectTimeout(1_000);
      connection.setReadTimeout(1_000);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady(int seconds) throws InterruptedException, IOException {
    long ends = System.nanoTime() + seconds * 1_000_000_000L;
    while (!ready()) {
      if (System.nanoTime() > ends || !process.isAlive()) {
        throw new IOException(name + " is not ready; see " + log);
      }
      Thread.sleep(100);
    }
  }

  String metric(String text) {
    try (var in =
        URI.create("http://127.0.0.1:" + probes + "/metrics").toURL().openStream()) {
      return new String(in.readAllBytes())
          .lines()
          .filter(line -> line.contains(text))
          .toList()
          .toString();
    } catch (IOException e) {
      return "no metrics: " + e;
    }
  }

  /** Returns lines of the output that are not log records, such as errors of the virtual machine. */
  List<String> errors() throws IOException {
    return Files.readAllLines(log).stream().filter(line -> !line.startsWith("{")).limit(5).toList();
  }

  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
  }

  void end() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

}
