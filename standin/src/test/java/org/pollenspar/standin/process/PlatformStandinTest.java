package org.pollenspar.standin.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.pollenspar.standin.process.DatabaseGroup.await;
import static org.pollenspar.standin.process.DatabaseGroup.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.HostState;
import org.pollenspar.core.process.PollensparException;

/** Tests the platform stand-in over HTTP, with a group of three database stand-ins behind it. */
class PlatformStandinTest {
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final ObjectMapper json = new ObjectMapper();
  private DatabaseGroup group;
  private PlatformStandin platform;

  @BeforeEach
  void start() throws Exception {
    group = new DatabaseGroup(3);
    List<Topology.GroupDatabase> databases = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      DatabaseStandin database = group.database(i);
      databases.add(
          new Topology.GroupDatabase(
              "d" + i, "127.0.0.1", database.port(), database.controlPort()));
    }
    Topology topology =
        new Topology(List.of(host("p1")), List.of(new Topology.Group("g", "d0", 1, databases)));
    platform = new PlatformStandin(new InetSocketAddress("127.0.0.1", 0), topology);
    await(() -> group.database(2).state().position().term() == 1);
    await(() -> group.database(1).state().position().term() == 1);
  }

  @AfterEach
  void stop() {
    platform.close();
    group.close();
  }

  private static Host host(String id) {
    return new Host(id, "127.0.0.1", 1, 2, 3, "a", "r", HostRole.PROXY, HostState.LIVE, List.of());
  }

  private String call(String method, String path, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(platform.baseUrl().resolve(URI.create(path)))
            .timeout(Duration.ofSeconds(20))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    return response.statusCode() + " " + response.body();
  }

  private JsonNode read(String path) throws Exception {
    return json.readTree(call("GET", path, "").substring(4));
  }

  private CompletableFuture<String> startGet(String path) {
    return http.sendAsync(
            HttpRequest.newBuilder(platform.baseUrl().resolve(path)).build(),
            HttpResponse.BodyHandlers.ofString())
        .thenApply(response -> response.statusCode() + " " + response.body());
  }

  private int status(String path, String body) throws Exception {
    return Integer.parseInt(call("POST", path, body).substring(0, 3));
  }

  private static String requestJson(long term, String owner, String database) {
    return "{\"term\": %d, \"owner\": \"%s\", \"database\": \"%s\"}"
        .formatted(term, owner, database);
  }

  /**
   * Guards against writes that overwrite a newer revision, leases that never expire, and faults
   * that do not behave like an outage.
   */
  @Nested
  class KeyValue {
    private static final String FIRST = "{\"value\": \"v1\", \"expected_revision\": 0}";

    @Test
    void writeRequiresTheCurrentRevision() throws Exception {
      assertEquals("404 ", call("GET", "/kv/a/b", ""));
      assertEquals("200 {\"revision\":1}", call("PUT", "/kv/a/b", FIRST));
      assertEquals("409 {\"revision\":1}", call("PUT", "/kv/a/b", FIRST));
      assertEquals(
          "200 {\"revision\":2}",
          call("PUT", "/kv/a/b", "{\"value\": \"v2\", \"expected_revision\": 1}"));
      assertEquals("200 {\"value\":\"v2\",\"revision\":2}", call("GET", "/kv/a/b", ""));
    }

    @Test
    void watchReturnsTheChange() throws Exception {
      CompletableFuture<String> watch = startGet("/kv/k?after=0&wait_ms=20000");
      await(() -> callCount("kv_watch") == 1);
      call("PUT", "/kv/k", FIRST);
      assertEquals("200 {\"value\":\"v1\",\"revision\":1}", watch.get());
      assertEquals("304 ", call("GET", "/kv/k?after=1&wait_ms=20", ""));
    }

    @Test
    void expiredLeaseDeletesItsKey() throws Exception {
      String lease =
          json.readTree(call("POST", "/leases", "{\"ttl_ms\": 300}").substring(4))
              .path("lease")
              .asText();
      call(
          "PUT",
          "/kv/k",
          "{\"value\": \"x\", \"expected_revision\": 0, \"lease\": \"%s\"}".formatted(lease));
      await(() -> get("/kv/k").equals("404 "));
      assertEquals(404, status("/leases/" + lease + "/renew", ""));
    }

    @Test
    void liveLeaseCanBeRenewed() throws Exception {
      String lease =
          json.readTree(call("POST", "/leases", "{\"ttl_ms\": 60000}").substring(4))
              .path("lease")
              .asText();
      assertEquals(200, status("/leases/" + lease + "/renew", ""));
    }

    @Test
    void changeSurvivesALostReply() throws Exception {
      platform.changeFaults("{\"kv_lost_answers\": 1}");
      HttpRequest put =
          HttpRequest.newBuilder(platform.baseUrl().resolve("/kv/k"))
              .timeout(Duration.ofMillis(500))
              .PUT(HttpRequest.BodyPublishers.ofString(FIRST))
              .build();
      assertThrows(IOException.class, () -> http.send(put, HttpResponse.BodyHandlers.ofString()));
      assertEquals("200 {\"value\":\"v1\",\"revision\":1}", call("GET", "/kv/k", ""));
    }

    @Test
    void outageRefusesCallsAndEndsWatches() throws Exception {
      CompletableFuture<String> watch = startGet("/kv/k?after=0&wait_ms=60000");
      await(() -> callCount("kv_watch") == 1);
      platform.changeFaults("{\"kv_down\": true}");
      assertTrue(watch.get().startsWith("503"));
      assertTrue(call("PUT", "/kv/k", FIRST).startsWith("503"));
      platform.changeFaults("{\"kv_down\": false, \"kv_latency_ms\": 5}");
      assertEquals("404 ", call("GET", "/kv/k", ""));
    }

    private String get(String path) {
      try {
        return call("GET", path, "");
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    }

    private int callCount(String kind) {
      try {
        return read("/admin/calls").path(kind).asInt();
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Guards against a host list that is published without the set lag, or never. */
  @Nested
  class Hosts {
    @Test
    void watchReturnsTheNewList() throws Exception {
      CompletableFuture<String> watch = startGet("/hosts?after=1&wait_ms=60000");
      platform.addHost(host("p2"));
      assertTrue(watch.get().contains("\"p2\""));
      assertEquals(200, status("/admin/hosts", "{\"id\": \"p1\", \"state\": \"leaving\"}"));
      assertEquals("leaving", read("/hosts").path("hosts").path(0).path("state").asText());
      assertEquals(200, status("/admin/hosts", "{\"remove\": \"p1\"}"));
      assertEquals(1, read("/hosts").path("hosts").size());
      assertEquals(400, status("/admin/hosts", "{\"id\": \"p1\", \"state\": \"leaving\"}"));
    }

    @Test
    void lagDelaysPublication() throws Exception {
      platform.changeFaults("{\"host_lag_ms\": 3600000}");
      platform.removeHost("p1");
      assertEquals(1, read("/hosts").path("hosts").size());
      platform.changeFaults("{\"host_lag_ms\": 0}");
      platform.addHost(host("p2"));
      assertEquals("p2", read("/hosts").path("hosts").path(0).path("id").asText());
    }
  }

  /**
   * Guards against two primaries in one term and against the promotion of a database that lacks
   * acknowledged entries.
   */
  @Nested
  class Groups {
    @Test
    void statusListsDatabasesAndPrimary() throws Exception {
      JsonNode status = read("/groups/g");
      assertEquals("d0", status.path("primary").asText());
      assertEquals(1, status.path("term").asLong());
      JsonNode database = status.path("members").path(2);
      assertEquals("d2", database.path("id").asText());
      assertEquals(group.database(2).port(), database.path("port").asInt());
      assertTrue(database.path("reachable").asBoolean());
      assertEquals(1, database.path("log_term").asLong());
    }

    @ParameterizedTest
    @CsvSource({"2, a, 200", "1, a, 409", "0, a, 409"})
    void fenceRequiresANewerTerm(long term, String owner, int expected) throws Exception {
      assertEquals(expected, status("/groups/g/fence", requestJson(term, owner, "")));
    }

    @Test
    void termIsGrantedToOneOwner() throws Exception {
      assertEquals(200, status("/groups/g/fence", requestJson(2, "a", "")));
      assertEquals(409, status("/groups/g/fence", requestJson(2, "b", "")));
      assertEquals(200, status("/groups/g/fence", requestJson(2, "a", "")));
      assertEquals(409, status("/groups/g/promote", requestJson(2, "b", "d1")));
      assertEquals(200, status("/groups/g/fence", requestJson(3, "b", "")));
      assertEquals(409, status("/groups/g/promote", requestJson(2, "a", "d1")));
    }

    @Test
    void onlyOneDatabaseIsPromotedPerTerm() throws Exception {
      status("/groups/g/fence", requestJson(2, "a", ""));
      assertEquals(200, status("/groups/g/promote", requestJson(2, "a", "d1")));
      assertEquals(200, status("/groups/g/promote", requestJson(2, "a", "d1")));
      assertEquals(409, status("/groups/g/promote", requestJson(2, "a", "d2")));
      await(() -> group.database(0).state().position().term() == 2);
      assertEquals("d1", read("/groups/g").path("primary").asText());
    }

    @Test
    void onlyAFencedDatabaseWithAllAcknowledgedEntriesIsPromoted() throws Exception {
      platform.changeFaults("{\"databases\": {\"d2\": {\"cut_off\": true}}}");
      Connection primary = group.connect(0);
      run(primary, "CREATE TABLE t (id text)");
      await(() -> group.database(1).state().position().offset() == 2);
      platform.changeFaults(
          "{\"databases\": {\"d2\": {\"cut_off\": false}, " + "\"d0\": {\"cut_off\": true}}}");
      JsonNode fenced =
          json.readTree(call("POST", "/groups/g/fence", requestJson(2, "a", "")).substring(4));
      assertEquals(2, fenced.path("fenced").size());
      if (group.database(2).state().position().offset() < 2) {
        assertEquals(409, status("/groups/g/promote", requestJson(2, "a", "d2")));
      }
      assertEquals(409, status("/groups/g/promote", requestJson(2, "a", "d0")));
      assertEquals(200, status("/groups/g/promote", requestJson(2, "a", "d1")));
    }

    @Test
    void promotionRequiresAFencedMajority() throws Exception {
      platform.changeFaults(
          "{\"databases\": {\"d0\": {\"cut_off\": true}, " + "\"d1\": {\"cut_off\": true}}}");
      assertEquals(200, status("/groups/g/fence", requestJson(2, "a", "")));
      assertEquals(409, status("/groups/g/promote", requestJson(2, "a", "d2")));
      assertFalse(read("/groups/g").path("members").path(0).path("reachable").asBoolean());
    }

    @Test
    void outageRefusesCalls() throws Exception {
      platform.changeFaults("{\"groups_down\": true}");
      assertEquals(503, status("/groups/g/fence", requestJson(2, "a", "")));
      assertEquals(1, group.database(1).state().fencedTerm());
      assertEquals(404, status("/admin/none", "{}"));
      assertEquals(400, status("/admin/faults", "{\"unknown\": 1}"));
    }
  }

  /** Guards against topology files whose mistakes are ignored instead of reported. */
  @Nested
  class Topologies {
    private static final String VALID =
        """
        [[hosts]]
        id = "b1"
        address = "127.0.0.1"
        domain = "a"
        region = "r"
        role = "backend_server"
        state = "live"
        databases = [{id = "d0", group = "g", port = 5000}]
        [[groups]]
        name = "g"
        primary = "d0"
        members = [{id = "d0", address = "127.0.0.1", port = 5000, control_port = 5001}]
        """;

    @TempDir private Path directory;

    @Test
    void validFileIsRead() throws IOException {
      Path file = Files.writeString(directory.resolve("topology.toml"), VALID);
      Topology topology = Topology.read(file);
      assertEquals("g", topology.hosts().get(0).databases().get(0).group());
      assertEquals(5001, topology.groups().get(0).databases().get(0).controlPort());
    }

    @ParameterizedTest
    @CsvSource({
      "primary = \"d0\", primary = \"d9\", d9",
      "control_port, control_prot, control_prot",
      "name = \"g\", [, line 10",
      "role = \"backend_server\", role = 7, role",
    })
    void errorNamesTheFaultyEntry(String from, String to, String expectedName) throws IOException {
      Path file = Files.writeString(directory.resolve("topology.toml"), VALID.replace(from, to));
      PollensparException refused =
          assertThrows(PollensparException.class, () -> Topology.read(file));
      assertTrue(refused.error().message().contains(expectedName), refused.error().message());
    }
  }
}
