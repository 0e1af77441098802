package org.pollenspar.standin.process;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.net.process.HostListJson;

/**
 * Initial state of the platform stand-in: the host list and the groups, as read from a TOML file.
 *
 * @param hosts hosts of the initial host list
 * @param groups groups with their databases
 */
public record Topology(List<Host> hosts, List<Group> groups) {
  private static final Set<String> ROOT_KEYS = Set.of("hosts", "groups");
  private static final Set<String> GROUP_KEYS = Set.of("name", "primary", "term", "members");
  private static final Set<String> DATABASE_KEYS = Set.of("id", "address", "port", "control_port");

  /**
   * A group of databases.
   *
   * @param name name of the group
   * @param primary id of the database that is promoted first
   * @param term term of the first primary
   * @param databases databases of the group
   */
  public record Group(String name, String primary, long term, List<GroupDatabase> databases) {}

  /**
   * A database of a group.
   *
   * @param id name of the database
   * @param address IP address
   * @param port port of the PostgreSQL protocol
   * @param controlPort port of the control API
   */
  public record GroupDatabase(String id, String address, int port, int controlPort) {
    ReplicationPeer peer() {
      return new ReplicationPeer(id, address, controlPort);
    }
  }

  public Topology {
    hosts = List.copyOf(hosts);
    groups = List.copyOf(groups);
  }

  /** Reads a TOML file; the error message names the file and the key or line at fault. */
  public static Topology read(Path file) {
    try {
      return read(file.toString(), new TomlMapper().readTree(Files.readString(file)));
    } catch (JacksonException e) {
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      throw PollensparError.of(ErrorKind.FILE_SYNTAX, file, line, e.getOriginalMessage())
          .asException();
    } catch (IOException e) {
      throw PollensparError.of(ErrorKind.FILE_UNREADABLE, file, String.valueOf(e)).asException();
    }
  }

  private static Topology read(String file, JsonNode root) {
    rejectUnknownKeys(file, root, ROOT_KEYS);
    ObjectNode hostList = root.deepCopy();
    hostList.remove("groups");
    hostList.put("revision", 1);
    List<Host> hosts =
        HostListJson.read(hostList.toString()).getOrElseThrow(error -> error.asException()).hosts();
    List<Group> groups = new ArrayList<>();
    for (JsonNode group : root.path("groups")) {
      groups.add(group(file, group));
    }
    return new Topology(hosts, groups);
  }

  private static Group group(String file, JsonNode node) {
    rejectUnknownKeys(file, node, GROUP_KEYS);
    List<GroupDatabase> databases = new ArrayList<>();
    for (JsonNode database : required(file, node, "members")) {
      rejectUnknownKeys(file, database, DATABASE_KEYS);
      databases.add(
          new GroupDatabase(
              required(file, database, "id").asText(),
              required(file, database, "address").asText(),
              required(file, database, "port").asInt(),
              required(file, database, "control_port").asInt()));
    }
    String primary = required(file, node, "primary").asText();
    if (databases.stream().noneMatch(database -> database.id().equals(primary))) {
      throw PollensparError.of(ErrorKind.DANGLING_NAME, file, "primary", primary, "").asException();
    }
    return new Group(
        required(file, node, "name").asText(), primary, node.path("term").asLong(1), databases);
  }

  private static JsonNode required(String file, JsonNode node, String key) {
    JsonNode value = node.get(key);
    if (value == null) {
      throw PollensparError.of(ErrorKind.MISSING_KEY, file, key).asException();
    }
    return value;
  }

  private static void rejectUnknownKeys(String file, JsonNode node, Set<String> known) {
    node.fieldNames()
        .forEachRemaining(
            name -> {
              if (!known.contains(name)) {
                throw PollensparError.of(ErrorKind.UNKNOWN_KEY, file, name, "; known are " + known)
                    .asException();
              }
            });
  }
}
