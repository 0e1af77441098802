package org.pollenspar.core.version;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.HostState;
import org.pollenspar.core.process.Rendezvous;

/**
 * Runs every file in {@code scenarios/versions} against one process, by default a watcher. With
 * {@code own = "next in order"} it is the proxy that becomes a watcher if one leaves the host list.
 */
class GossipProtocolScenarios {
  private static final long MILLI = 1_000_000;
  private static final TomlMapper MAPPER = new TomlMapper();

  @TestFactory
  Stream<DynamicTest> scenarios() throws IOException, URISyntaxException {
    Path directory =
        Path.of(Objects.requireNonNull(getClass().getResource("/scenarios/versions")).toURI());
    try (Stream<Path> files = Files.list(directory)) {
      List<Path> sorted = files.sorted().toList();
      assertEquals(6, sorted.size(), "scenario files are missing from the class path");
      return sorted.stream().map(GossipProtocolScenarios::test);
    }
  }

  private static DynamicTest test(Path file) {
    try {
      JsonNode scenario = MAPPER.readTree(file.toFile());
      String name = file.getFileName() + ": guards against " + scenario.path("guards").asText();
      return DynamicTest.dynamicTest(name, file.toUri(), () -> run(scenario));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void run(JsonNode scenario) {
    List<Host> order =
        Rendezvous.select("watchers", list(1, 9).hosts(), GossipProtocol.WATCHERS_PER_DOMAIN + 1);
    boolean isNextInOrder = scenario.path("own").asText().equals("next in order");
    Script script = new Script(order.get(isNextInOrder ? order.size() - 1 : 0).id());
    JsonNode steps = scenario.path("steps");
    assertTrue(!steps.isEmpty(), "no steps");
    for (JsonNode step : steps) {
      String[] parts = step.asText().split(" -> ", 2);
      String result = script.run(parts[0].split(" "));
      assertEquals(parts[1], result, () -> "step \"" + step.asText() + "\"");
    }
  }

  private static HostList list(long revision, int count) {
    return new HostList(
        revision,
        IntStream.rangeClosed(1, count).mapToObj(GossipProtocolScenarios::proxy).toList());
  }

  private static Host proxy(int number) {
    return new Host(
        "p" + number, "127.0.0.1", 1, 1, 1, "d", "r", HostRole.PROXY, HostState.LIVE, List.of());
  }

  private static Set<String> watchers(HostList list) {
    return WatcherSelection.watchers(list, GossipProtocol.WATCHERS_PER_DOMAIN).keySet();
  }

  /** Interpreter of the steps on one {@link GossipProtocol}; returns its actions as text. */
  private static final class Script {
    private final GossipProtocol gossip;
    private long now = 1_000_000 * MILLI;

    Script(String ownId) {
      this.gossip = new GossipProtocol(ownId, "d", new Random(1), now);
    }

    String run(String[] step) {
      return switch (step[0]) {
        case "start" -> text(gossip.start(now));
        case "tick" -> text(gossip.tick(now));
        case "time" -> {
          now += Long.parseLong(step[1]) * MILLI;
          yield "nothing";
        }
        case "platform" -> text(gossip.platformValueReceived(value(step, 1), now));
        case "value" -> text(gossip.valueReceived(step[1], value(step, 2), now));
        case "digest" -> text(gossip.digestReceived(step[1], digest(step), now));
        case "acknowledge" -> text(gossip.digestAcknowledged(step[1], digest(step), now));
        case "contact", "fail", "refuse" -> apply(step);
        case "isolated" -> String.valueOf(gossip.isolated(now));
        case "leaving" -> leaving(step);
        case "version" ->
            "configuration %d, hosts %d"
                .formatted(gossip.digest().configVersion(), gossip.digest().hostListRevision());
        default -> throw new IllegalArgumentException(step[0]);
      };
    }

    private String apply(String[] step) {
      switch (step[0]) {
        case "contact" -> gossip.platformAnswered(now);
        case "fail" -> gossip.peerFailed(step[1], now);
        default -> gossip.refuse(GossipValueKind.CONFIGURATION, Long.parseLong(step[2]));
      }
      return "nothing";
    }

    private String leaving(String[] step) {
      if (step.length == 1) {
        return new TreeSet<>(gossip.leavingPeers(now)).toString();
      }
      return text(gossip.digestReceived(step[2], new GossipDigest(0, 0, true), now));
    }

    private static GossipDigest digest(String[] step) {
      return new GossipDigest(Long.parseLong(step[3]), Long.parseLong(step[5]), false);
    }

    /** Parses "configuration VERSION" or "hosts REVISION [without watchers] of COUNT". */
    private static GossipValue value(String[] step, int from) {
      long version = Long.parseLong(step[from + 1]);
      if (step[from].equals("configuration")) {
        return new GossipValue.Configuration(
            new ConfigurationVersion(version, "a" + version, "test", "", "", List.of()));
      }
      HostList list = list(version, Integer.parseInt(step[step.length - 1]));
      if (step[from + 2].equals("without")) {
        Set<String> gone = watchers(list);
        List<Host> rest = list.hosts().stream().filter(h -> !gone.contains(h.id())).toList();
        list = new HostList(version, rest);
      }
      return new GossipValue.Hosts(list);
    }

    private static String text(List<GossipAction> actions) {
      List<String> words = new ArrayList<>();
      long digests = actions.stream().filter(a -> a instanceof GossipAction.SendDigest).count();
      for (GossipAction action : actions) {
        if (action instanceof GossipAction.Adopted adopted) {
          String kind =
              adopted.value().kind() == GossipValueKind.HOST_LIST ? "hosts" : "configuration";
          words.add("adopted " + kind + " " + adopted.value().version());
        } else if (action instanceof GossipAction.Fetch fetch) {
          words.add("fetch configuration from " + fetch.from().id());
        } else if (action instanceof GossipAction.WatchPlatform watch) {
          words.add(watch.active() ? "watch on" : "watch off");
        } else if (action instanceof GossipAction.SendDigest) {
          if (digests > 0) {
            words.add(digests + " digests");
            digests = 0;
          }
        } else {
          words.add("read platform");
        }
      }
      return words.isEmpty() ? "nothing" : String.join(", ", words);
    }
  }
}
