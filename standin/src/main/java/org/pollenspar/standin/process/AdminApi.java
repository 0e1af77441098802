package org.pollenspar.standin.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostState;
import org.pollenspar.net.process.HostListJson;
import org.pollenspar.net.request.HttpCall;
import org.pollenspar.net.request.HttpReply;
import org.pollenspar.standin.version.KeyValueStore;

/**
 * Fault injection, host list changes and call counters for tests; a real platform has no such API.
 */
final class AdminApi {
  private final ObjectMapper json = new ObjectMapper();
  private final PlatformFaults faults;
  private final CallCounters counters;
  private final HostListUpdater hosts;
  private final KeyValueStore store;
  private final Map<String, GroupAuthority> groups;
  private final ControlClient client;

  AdminApi(
      PlatformFaults faults,
      CallCounters counters,
      HostListUpdater hosts,
      KeyValueStore store,
      Map<String, GroupAuthority> groups,
      ControlClient client) {
    this.faults = faults;
    this.counters = counters;
    this.hosts = hosts;
    this.store = store;
    this.groups = groups;
    this.client = client;
  }

  HttpReply handle(HttpCall call) throws JsonProcessingException {
    switch (call.path()) {
      case "/admin/calls":
        return HttpReply.json(200, counters.toJson().toString());
      case "/admin/faults":
        changeFaults(json.readTree(call.body()));
        return HttpReply.json(200, "{}");
      case "/admin/hosts":
        changeHosts(json.readTree(call.body()));
        return HttpReply.json(200, "{}");
      default:
        return HttpReply.json(404, "{\"error\": \"no such path\"}");
    }
  }

  /** Sets the faults that the fields of a JSON object name; other faults stay as they are. */
  void changeFaults(JsonNode faultsByName) {
    faultsByName.fields().forEachRemaining(field -> changeFault(field.getKey(), field.getValue()));
  }

  private void changeFault(String name, JsonNode value) {
    switch (name) {
      case "kv_down" -> {
        faults.keyValueDown = value.asBoolean();
        if (faults.keyValueDown) {
          store.endAllWatches();
        }
      }
      case "kv_hangs" -> faults.keyValueHangs = value.asBoolean();
      case "kv_latency_ms" -> faults.keyValueLatencyMillis = value.asLong();
      case "kv_lost_answers" -> faults.lostWriteAnswers.set(value.asInt());
      case "hosts_down" -> faults.hostsDown = value.asBoolean();
      case "host_lag_ms" -> faults.hostLagMillis = value.asLong();
      case "groups_down" -> faults.groupsDown = value.asBoolean();
      case "group_lost_answers" -> faults.lostGroupAnswers.set(value.asInt());
      case "databases" ->
          value.fields().forEachRemaining(field -> forwardFaults(field.getKey(), field.getValue()));
      default -> throw new IllegalArgumentException("unknown fault \"" + name + "\"");
    }
  }

  private void forwardFaults(String databaseId, JsonNode databaseFaults) {
    Optional<Topology.GroupDatabase> database =
        groups.values().stream()
            .flatMap(group -> group.databases().stream())
            .filter(target -> target.id().equals(databaseId))
            .findFirst();
    if (database.isEmpty()) {
      throw new IllegalArgumentException("unknown database \"" + databaseId + "\"");
    }
    try {
      Topology.GroupDatabase target = database.get();
      client.post(
          target.address(), target.controlPort(), "/faults", databaseFaults, JsonNode.class);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void changeHosts(JsonNode body) {
    if (body.has("add")) {
      String list =
          json.createObjectNode().put("revision", 1).set("hosts", body.get("add")).toString();
      List<Host> addedHosts =
          HostListJson.read(list).getOrElseThrow(error -> error.asException()).hosts();
      addedHosts.forEach(hosts::add);
    } else if (body.has("remove")) {
      hosts.remove(body.get("remove").asText());
    } else {
      String state = body.required("state").asText().toUpperCase(Locale.ROOT);
      hosts.setState(body.required("id").asText(), HostState.valueOf(state));
    }
  }
}
