package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * An edge host: the program of the deploy file as a process of its own, started with the deploy
 * file's command and settings from its template.
 */
final class Host implements AutoCloseable {
  private static final int FIRST_PORT = 20_000;
  private static final int PORTS = 12_000;
  private static final Random RANDOM = new Random();
  private static final Set<Integer> USED_PORTS = new HashSet<>();

  final String name;
  final int callers;
  final int probes;
  final int fleet;
  private final Path log;
  private final Path settings;
  private Process process;

  /** Starts the program; {@code root} is the root of the repository. */
  Host(Path root, Path folder, String name, int storePort, int promotionPort) throws IOException {
    this.name = name;
    List<Integer> ports = freePorts();
    callers = ports.get(0);
    probes = ports.get(1);
    fleet = ports.get(2);
    log = folder.resolve(name + ".log");
    settings = folder.resolve(name + ".toml");
    String text =
        Files.readString(root.resolve("deploy/edge.toml"))
            .replace("{{node_name|json}}", quote(name))
            .replace("{{ip|json}}", quote("127.0.0.1"))
            .replace("{{zone|json}}", quote("a"))
            .replace("{{limits.cpu_quota}}", "0.51")
            .replace("{{listen_addrs.front|json}}", quote("127.0.0.1:" + callers))
            .replace("{{listen_addrs.readiness|json}}", quote("127.0.0.1:" + probes))
            .replace("{{internal_ports.0}}", String.valueOf(fleet))
            .replace("{{platform.address|json}}", quote("127.0.0.1:" + storePort))
            .replace("{{cloud_api.address|json}}", quote("127.0.0.1:" + promotionPort))
            .replace("{{bounds.config_apply_ms}}", "3000")
            .replace("{{bounds.grace_s}}", "6")
            // Optional sections, whose values aren't stated here.
            .replaceAll("(?s)\\{\\{#(.+?)}}.*?\\{\\{/\\1}}\n?", "");
    Files.writeString(settings, text);
    String command =
        Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
            .findFirst()
            .orElseThrow();
    ProcessBuilder builder = new ProcessBuilder(command.split(" "));
    builder.directory(root.toFile());
    builder.environment().put("POLLENSPAR_BOOT", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
  }

  private static String quote(String text) {
    return "\"" + text + "\"";
  }

  /**
   * Returns ports that are free now. They lie below those that the system gives to outgoing
   * connections, so that none is taken before the program opens it.
   */
  private static synchronized List<Integer> freePorts() {
    List<Integer> ports = new ArrayList<>();
    while (ports.size() < 3) {
      int port = FIRST_PORT + RANDOM.nextInt(PORTS);
      if (!USED_PORTS.contains(port) && free(port)) {
        USED_PORTS.add(port);
        ports.add(port);
      }
    }
    return ports;
  }

  private static boolean free(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  /** Waits until the readiness probe succeeds; returns false if it doesn't within 20 s. */
  boolean awaitReady() throws InterruptedException {
    for (int i = 0; i < 200; i++) {
      if (ready()) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** Asks once, as the platform's balancer does each second. */
  boolean ready() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://127.0.0.1:" + probes + "/pollenspar/readyz").toURL().openConnection();
      connection.setConnectTimeout(1_000);
      connection.setReadTimeout(1_000);
      return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
    } catch (IOException e) {
      return false;
    }
  }

  boolean alive() {
    return process.isAlive();
  }

  long pid() {
    return process.pid();
  }

  /** Sends a signal to this process, such as TERM. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
