import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One edge process, started with the run line and the settings template of the deploy file. */
final class Host {
  private static final List<Host> ALL = new ArrayList<>();
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?\\}\\}");
  final String name;
  final int callersPort;
  final int probesPort;
  final int fleetPort;
  private final Path settings;
  private final Path log;
  private Process process;

  /** Writes the settings of a host. */
  Host(Path folder, String name, String zone, int storePort, int promotionsPort)
      throws IOException {
    this(folder, name, zone, storePort, promotionsPort, Case.freePort(), Case.freePort());
  }

  /**
   * Writes the settings of a host.
   *
   * @param fleetPort port for other hosts, on which it listens
   */
  Host(
      Path folder,
      String name,
      String zone,
      int storePort,
      int promotionsPort,
      int fleetPort,
      int callersPort)
      throws IOException {
    this.name = name;
    this.fleetPort = fleetPort;
    this.callersPort = callersPort;
    this.probesPort = Case.freePort();
    this.settings = folder.resolve(name + ".toml");
    this.log = folder.resolve(name + ".log");
    String template = Files.readString(Path.of("deploy/edge.toml"));
    template =
        template
            .replace("{{#zones}}", "")
            .replace("{{/zones}}", "")
            .replace("\"{{@}}\" = \"{{.}}\"", "\"" + zone + "\" = \"region-1\"");
    Matcher matcher = PLACEHOLDER.matcher(template);
    StringBuilder text = new StringBuilder();
    while (matcher.find()) {
      String value =
          switch (matcher.group(1)) {
            case "node_name" -> name;
            case "ip" -> "127.0.0.1";
            case "zone" -> zone;
            case "region" -> "region-1";
            case "limits.cpu_quota" -> "0.51";
            case "listen_addrs.front" -> "127.0.0.1:" + callersPort;
            case "listen_addrs.readiness" -> "127.0.0.1:" + probesPort;
            case "internal_ports.0" -> "" + fleetPort;
            case "platform.address" -> "127.0.0.1:" + storePort;
            case "cloud_api.address" -> "127.0.0.1:" + promotionsPort;
            case "bounds.config_apply_ms" -> "3000";
            case "bounds.grace_s" -> "6";
            default -> "";
          };
      String filled = matcher.group(2) == null ? value : "\"" + value + "\"";
      matcher.appendReplacement(text, Matcher.quoteReplacement(filled));
    }
    matcher.appendTail(text);
    Files.writeString(settings, text.toString());
    synchronized (ALL) {
      ALL.add(this);
    }
  }

  /** Starts the process as the deploy file says. */
  void start() throws IOException {
    String run = null;
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        run = line.substring("run = \"".length(), line.lastIndexOf('"'));
      }
    }
    ProcessBuilder builder = new ProcessBuilder(run.split(" "));
    builder.environment().put("POLLENSPAR_BOOT", settings.toAbsolutePath().toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
    process = builder.start();
  }

  /** Waits until the readiness probe is answered with 200. */
  void awaitReady() throws Case.CannotRun {
    long end = Case.now() + 30_000;
    while (!ready()) {
      if (!process.isAlive() || Case.now() > end) {
        throw new Case.CannotRun(name + " was not ready in time; its log is " + log);
      }
      Case.pause(50);
    }
  }

  boolean ready() {
    try {
      HttpURLConnection probe =
          (HttpURLConnection)
              URI.create("http://127.0.0.1:" + probesPort + "/pollenspar/readyz").toURL()
                  .openConnection();
      probe.setConnectTimeout(500);
      probe.setReadTimeout(500);
      return probe.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean alive() {
    return process.isAlive();
  }

  /** Returns the exit code; null if the process doesn't end in time. */
  Integer exitCode(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : null;
  }

  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
  }

  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  /** Returns the lines of the log that contain a text. */
  List<String> logged(String text) throws IOException {
    List<String> found = new ArrayList<>();
    for (String line : Files.readAllLines(log, StandardCharsets.UTF_8)) {
      if (line.contains(text)) {
        found.add(line);
      }
    }
    return found;
  }

  static void killAll() {
    synchronized (ALL) {
      for (Host each : ALL) {
        if (each.process != null) {
          each.process.destroyForcibly();
        }
      }
    }
  }
}
