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
 * What the platform knows at its start.
 *
 * @param hosts all hosts
 * @param groups all groups
 */
public record Topology(List<Host> hosts, List<Group> groups) {
  private static final Set<String> TOP_KEYS = Set.of("hosts", "groups");
  private static final Set<String> GROUP_KEYS = Set.of("name", "primary", "term", "members");
  private static final Set<String> MEMBER_KEYS = Set.of("id", "address", "port", "control_port");

  /**
   * A group of databases.
   *
   * @param name name
   * @param primary first primary
   * @param term its term
   * @param databases databases
   */
  public record Group(String name, String primary, long term, List<GroupDatabase> databases) {}

  /**
   * A database of a group.
   *
   * @param id name
   * @param address IP number
   * @param port port of the PostgreSQL protocol
   * @param controlPort port of the control API
   */
  public record GroupDatabase(String id, String address, int port, int controlPort) {
    /** Returns the member as other databases reach it. */
    ReplicationPeer peer() {
      return new ReplicationPeer(id, address, controlPort);
    }
  }

  /** Copies the lists. */
  public Topology {
    hosts = List.copyOf(hosts);
    groups = List.copyOf(groups);
  }

  /** Reads a TOML file; a failure names the file and the key. */
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
    refuseUnknown(file, root, TOP_KEYS);
    ObjectNode list = root.deepCopy();
    list.remove("groups");
    list.put("revision", 1);
    List<Host> hosts =
        HostListJson.read(list.toString()).getOrElseThrow(error -> error.asException()).hosts();
    List<Group> groups = new ArrayList<>();
    for (JsonNode group : root.path("groups")) {
      groups.add(group(file, group));
    }
    return new Topology(hosts, groups);
  }

  private static Group group(String file, JsonNode node) {
    refuseUnknown(file, node, GROUP_KEYS);
    List<GroupDatabase> databases = new ArrayList<>();
    for (JsonNode member : required(file, node, "members")) {
      refuseUnknown(file, member, MEMBER_KEYS);
      databases.add(
          new GroupDatabase(
              required(file, member, "id").asText(),
              required(file, member, "address").asText(),
              required(file, member, "port").asInt(),
              required(file, member, "control_port").asInt()));
    }
    String primary = required(file, node, "primary").asText();
    if (databases.stream().noneMatch(member -> member.id().equals(primary))) {
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

  private static void refuseUnknown(String file, JsonNode node, Set<String> known) {
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
