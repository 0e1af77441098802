package org.pollenspar.net.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.pollenspar.core.process.DatabaseEndpoint;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.HostState;
import org.pollenspar.core.process.PollensparError;

/** The JSON form of the host list, which the platform sends and processes exchange. */
public final class HostListJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAX_PORT = 65_535;

  private HostListJson() {}

  public static String write(HostList list) {
    ObjectNode root = JsonNodeFactory.instance.objectNode().put("revision", list.revision());
    var hosts = root.putArray("hosts");
    list.hosts().forEach(host -> hosts.add(write(host)));
    return root.toString();
  }

  private static ObjectNode write(Host host) {
    ObjectNode node =
        JsonNodeFactory.instance
            .objectNode()
            .put("id", host.id())
            .put("address", host.address())
            .put("peer_port", host.peerPort())
            .put("http_port", host.httpPort())
            .put("admin_port", host.adminPort())
            .put("domain", host.domain())
            .put("region", host.region())
            .put("role", host.role().name().toLowerCase(Locale.ROOT))
            .put("state", host.state().name().toLowerCase(Locale.ROOT));
    if (!host.databases().isEmpty()) {
      var databases = node.putArray("databases");
      for (DatabaseEndpoint database : host.databases()) {
        databases
            .addObject()
            .put("id", database.id())
            .put("group", database.group())
            .put("port", database.port());
      }
    }
    return node;
  }

  /** Reads a list; fails with an error of kind {@code MALFORMED_JSON}. */
  public static Either<PollensparError, HostList> read(String json) {
    try {
      return Either.right(read(MAPPER.readTree(json)));
    } catch (JsonProcessingException e) {
      return Either.left(PollensparError.of(ErrorKind.MALFORMED_JSON, e.getOriginalMessage()));
    } catch (IllegalArgumentException e) {
      return Either.left(
          PollensparError.of(ErrorKind.MALFORMED_JSON, String.valueOf(e.getMessage())));
    }
  }

  /** Reads a list from its tree; fails with {@link IllegalArgumentException}. */
  static HostList read(JsonNode root) {
    List<Host> hosts = new ArrayList<>();
    for (JsonNode node : root.required("hosts")) {
      hosts.add(readHost(node));
    }
    return new HostList(JsonFields.number(root, "revision"), hosts);
  }

  private static Host readHost(JsonNode node) {
    List<DatabaseEndpoint> databases = new ArrayList<>();
    for (JsonNode database : node.path("databases")) {
      databases.add(
          new DatabaseEndpoint(
              JsonFields.text(database, "id"),
              JsonFields.text(database, "group"),
              port(database, "port")));
    }
    return new Host(
        JsonFields.text(node, "id"),
        JsonFields.text(node, "address"),
        port(node, "peer_port"),
        port(node, "http_port"),
        port(node, "admin_port"),
        JsonFields.text(node, "domain"),
        JsonFields.text(node, "region"),
        HostRole.valueOf(JsonFields.text(node, "role").toUpperCase(Locale.ROOT)),
        HostState.valueOf(JsonFields.text(node, "state").toUpperCase(Locale.ROOT)),
        databases);
  }

  /** Reads a port; returns 0 if it is absent, as are ports that the role of a host does not use. */
  private static int port(JsonNode node, String field) {
    long port = node.hasNonNull(field) ? JsonFields.number(node, field) : 0;
    if (port < 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("field \"" + field + "\" is not a port: " + port);
    }
    return (int) port;
  }
}
