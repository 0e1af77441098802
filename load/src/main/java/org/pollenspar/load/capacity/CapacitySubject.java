package org.pollenspar.load.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pollenspar.core.connection.GroupTracker;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.connection.TokenCodec;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.Rendezvous;
import org.pollenspar.core.request.AdmissionQueue;
import org.pollenspar.core.request.ReadRequirement;
import org.pollenspar.core.request.ReadRouter;
import org.pollenspar.core.request.RoutingContext;
import org.pollenspar.core.version.FleetFileParser;
import org.pollenspar.net.process.HostListJson;
import org.pollenspar.net.version.CompressedText;

/**
 * The parts whose cost is measured for capacity planning, with the sizes at which they are
 * measured.
 */
public enum CapacitySubject {
  /** Memory of the tracked groups on a home, and the CPU time to record the answer to one probe. */
  GROUP_TRACKER("groups", List.of(3, 10, 30, 100)) {
    @Override
    List<Measurement> measure(int size) {
      List<GroupTracker> trackers = filledTrackers(size);
      long[] round = {PROBE_ROUNDS};
      double nanos =
          ResourceMeter.nanosPerOperation(
              size * SampleData.DATABASES_PER_GROUP * ROUNDS,
              () -> {
                for (int i = 0; i < ROUNDS; i++) {
                  long now = ++round[0];
                  trackers.forEach(t -> SampleData.probeRound(t, now, now * MILLI));
                }
              });
      return List.of(
          value(size, "memory_bytes", ResourceMeter.retainedBytes(() -> filledTrackers(size))),
          value(size, "cpu_ns_per_probe", nanos));
    }
  },

  /** CPU time of routing one read among the databases of a group. */
  READ_ROUTER("groups", List.of(3, 10, 30, 100)) {
    @Override
    List<Measurement> measure(int size) {
      List<GroupTracker> trackers = filledTrackers(size);
      ReadRouter router = ReadRouter.replicasFirst();
      RoutingContext context = new RoutingContext(id -> true, Map.of(), Map.of(), "domain-0");
      long now = PROBE_ROUNDS * MILLI;
      ReadRequirement requirement =
          new ReadRequirement("group", new Position(1, 1), 1000 * MILLI, now, now + 1000 * MILLI);
      double nanos =
          ResourceMeter.nanosPerOperation(
              size * ROUNDS,
              () -> {
                for (int i = 0; i < ROUNDS; i++) {
                  trackers.forEach(t -> router.choose(requirement, t, context, now));
                }
              });
      return List.of(value(size, "cpu_ns_per_read", nanos));
    }
  },

  /** Memory of the requests that wait at a home, and the CPU time to queue one. */
  ADMISSION_QUEUE("waiting requests", List.of(100, 1000, 10_000)) {
    @Override
    List<Measurement> measure(int size) {
      AdmissionQueue<Integer> queue = filledQueue(size);
      double nanos =
          ResourceMeter.nanosPerOperation(
              QUEUE_OPERATIONS,
              () -> {
                for (int i = 0; i < QUEUE_OPERATIONS; i++) {
                  queue.offer(i, SampleData.ranks().get(i % 3), FAR_DEADLINE, 0);
                  queue.poll(0);
                }
              });
      return List.of(
          value(size, "memory_bytes", ResourceMeter.retainedBytes(() -> filledQueue(size))),
          value(size, "cpu_ns_per_request", nanos));
    }
  },

  /** The fleet file: its size, the CPU time to parse it and the memory of its parsed form. */
  FLEET_FILE("groups", List.of(3, 30, 100, 300, 700)) {
    @Override
    List<Measurement> measure(int size) {
      String text = SampleData.fleetFile(size);
      FleetFileParser parser = new FleetFileParser();
      return List.of(
          value(size, "file_bytes", text.getBytes(StandardCharsets.UTF_8).length),
          value(
              size,
              "memory_bytes",
              ResourceMeter.retainedBytes(() -> parser.parse("f", text).get())),
          value(
              size,
              "cpu_ns_per_parse",
              ResourceMeter.nanosPerOperation(1, () -> parser.parse("f", text).get())));
    }
  },

  /** The host list: its size, the CPU time to parse it and its memory. */
  HOST_LIST("hosts", List.of(51, 390, 1300, 3900)) {
    @Override
    List<Measurement> measure(int size) {
      HostList list = SampleData.hostList(size * 3 / 13, size * 7 / 39);
      String json = HostListJson.write(list);
      return List.of(
          value(list.hosts().size(), "json_bytes", json.getBytes(StandardCharsets.UTF_8).length),
          value(
              list.hosts().size(),
              "memory_bytes",
              ResourceMeter.retainedBytes(() -> HostListJson.read(json).get())),
          value(
              list.hosts().size(),
              "cpu_ns_per_parse",
              ResourceMeter.nanosPerOperation(1, () -> HostListJson.read(json).get())));
    }
  },

  /**
   * CPU time of choosing the homes of a group among the proxies, and how evenly 700 groups spread.
   */
  HOME_SELECTION("proxies", List.of(17, 100, 300, 900)) {
    @Override
    List<Measurement> measure(int size) {
      List<Host> proxies = SampleData.proxies(size);
      Map<String, Integer> homes = new HashMap<>();
      for (int g = 0; g < GROUPS_AT_SCALE; g++) {
        for (Host home : Rendezvous.select(SampleData.group(g).name(), proxies, HOMES)) {
          homes.merge(home.id(), 1, Integer::sum);
        }
      }
      double nanos =
          ResourceMeter.nanosPerOperation(
              GROUPS_AT_SCALE,
              () -> {
                for (int g = 0; g < GROUPS_AT_SCALE; g++) {
                  Rendezvous.select(SampleData.group(g).name(), proxies, HOMES);
                }
              });
      int most = homes.values().stream().mapToInt(Integer::intValue).max().orElse(0);
      return List.of(
          value(size, "most_groups_on_one_proxy", most), value(size, "cpu_ns_per_group", nanos));
    }
  },

  /** Length of a session token, and the CPU time to decode and encode it once for each request. */
  SESSION_TOKEN("groups in the session", List.of(1, 3, 10)) {
    @Override
    List<Measurement> measure(int size) {
      TokenCodec codec =
          new TokenCodec("0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.UTF_8));
      String token = codec.encode(SampleData.session(size));
      double nanos =
          ResourceMeter.nanosPerOperation(
              ROUNDS,
              () -> {
                for (int i = 0; i < ROUNDS; i++) {
                  codec.encode(codec.decode(token).get());
                }
              });
      return List.of(
          value(size, "token_characters", token.length()),
          value(size, "cpu_ns_per_request", nanos));
    }
  },

  /**
   * Bytes of messages between processes; configuration and host list as they are sent, compressed.
   */
  PEER_MESSAGE("groups", List.of(3, 30, 100, 300, 700)) {
    @Override
    List<Measurement> measure(int size) {
      String file = SampleData.fleetFile(size);
      String hosts = HostListJson.write(SampleData.hostList(size * 9 / 7, size));
      return List.of(
          value(size, "configuration_bytes", CompressedText.compress(file).size()),
          value(
              size,
              "cpu_ns_per_compression",
              ResourceMeter.nanosPerOperation(1, () -> CompressedText.compress(file))),
          value(size, "host_list_bytes", CompressedText.compress(hosts).size()),
          value(size, "digest_bytes", SampleData.digest().getSerializedSize()),
          value(size, "report_request_bytes", SampleData.reportRequest().getSerializedSize()),
          value(size, "report_bytes", SampleData.report().getSerializedSize()));
    }
  },

  /** Memory of open HTTP connections of callers without a request in progress. */
  CALLER_CONNECTION("idle connections", List.of(250, 1000, 4000)) {
    @Override
    List<Measurement> measure(int size) {
      return List.of(value(size, "memory_bytes", IdleConnections.retainedBytes(size)));
    }
  };

  private static final int PROBE_ROUNDS = 600;
  private static final int ROUNDS = 1000;
  private static final int QUEUE_OPERATIONS = 50_000;
  private static final int GROUPS_AT_SCALE = 700;
  private static final int HOMES = 3;
  private static final long MILLI = 1_000_000L;
  private static final long FAR_DEADLINE = 1_000_000_000_000_000L;

  private final String sizeUnit;

  @SuppressWarnings("ImmutableEnumChecker") // the lists are unmodifiable
  private final List<Integer> sizes;

  CapacitySubject(String sizeUnit, List<Integer> sizes) {
    this.sizeUnit = sizeUnit;
    this.sizes = sizes;
  }

  /** Measures this part at one size. */
  abstract List<Measurement> measure(int size);

  /** Measures this part at all its sizes. */
  public List<Measurement> measureAll() {
    List<Measurement> all = new ArrayList<>();
    sizes.forEach(size -> all.addAll(measure(size)));
    return all;
  }

  Measurement value(long size, String quantity, double value) {
    return new Measurement(
        name().toLowerCase(java.util.Locale.ROOT), sizeUnit, size, quantity, value);
  }

  private static List<GroupTracker> filledTrackers(int groups) {
    List<GroupTracker> trackers = new ArrayList<>();
    for (int i = 0; i < groups; i++) {
      GroupTracker tracker = new GroupTracker(SampleData.group(i));
      for (long round = 0; round < PROBE_ROUNDS; round++) {
        SampleData.probeRound(tracker, round, round * MILLI);
      }
      trackers.add(tracker);
    }
    return trackers;
  }

  private static AdmissionQueue<Integer> filledQueue(int requests) {
    AdmissionQueue<Integer> queue = AdmissionQueue.ranked(SampleData.ranks());
    queue.setConcurrency(16);
    for (int i = 0; i < requests; i++) {
      queue.offer(i, SampleData.ranks().get(i % 3), FAR_DEADLINE, 0);
    }
    return queue;
  }
}
