package org.pollenspar.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.version.FleetFile;
import org.pollenspar.net.process.Launcher;
import org.pollenspar.net.process.ProgramName;
import org.pollenspar.net.process.Setting;
import org.pollenspar.standin.process.Topology;

/**
 * Guards against example files that contradict each other or that the programs reject: fleet files,
 * topologies and settings are edited separately.
 */
class ExamplesTest {
  private static final Path EXAMPLES = Path.of("../examples");

  @ParameterizedTest
  @ValueSource(strings = {"vale-lector", "aridos"})
  void topologiesHaveTheGroupsOfTheFleetFile(String deployment) {
    FleetFile file =
        FleetFiles.load(EXAMPLES.resolve(deployment + ".toml").toString()).get().file();
    for (String suffix : Set.of("-topology.toml", "-demo-topology.toml")) {
      Topology topology = Topology.read(EXAMPLES.resolve(deployment + suffix));
      HostList hosts = new HostList(1, topology.hosts());
      assertEquals(
          file.groups().keySet(),
          topology.groups().stream().map(Topology.Group::name).collect(Collectors.toSet()));
      for (Topology.Group group : topology.groups()) {
        assertEquals(
            file.groups().get(group.name()).databases(),
            group.databases().stream().map(Topology.GroupDatabase::id).toList());
        long domains =
            group.databases().stream()
                .map(member -> hosts.hostOfDatabase(member.id()).orElseThrow().domain())
                .distinct()
                .count();
        assertEquals(3, domains, "the databases of " + group.name() + " share a failure domain");
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "vale-lector, proxy, PROXY, proxy-1",
    "vale-lector, failover, FAILOVER, agent-1",
    "aridos, proxy, PROXY, proxy-1",
    "aridos, failover, FAILOVER, agent-1"
  })
  void settingsMatchTheTopology(String deployment, String kind, ProgramName program, String id) {
    Topology topology = Topology.read(EXAMPLES.resolve(deployment + "-topology.toml"));
    Host host = new HostList(1, topology.hosts()).host(id).orElseThrow();
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream print = new PrintStream(output, true, StandardCharsets.UTF_8);
    String file = EXAMPLES.resolve(deployment + "-" + kind + ".toml").toString();
    int code =
        new Launcher(program, print, print)
            .run(
                new String[] {"--settings", file},
                settings -> {
                  assertEquals(host.id(), settings.text(Setting.ID));
                  assertEquals(host.domain(), settings.text(Setting.DOMAIN));
                  assertEquals(host.region(), settings.text(Setting.REGION));
                  assertEquals(host.peerPort(), settings.number(Setting.PEER_PORT));
                  assertEquals(host.adminPort(), settings.number(Setting.ADMIN_PORT));
                });
    assertEquals(0, code, () -> output.toString(StandardCharsets.UTF_8));
  }
}
