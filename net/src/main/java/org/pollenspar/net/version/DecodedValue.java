package org.pollenspar.net.version;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.version.ConfigurationJson;
import org.pollenspar.core.version.ConfigurationVersion;
import org.pollenspar.core.version.FleetFile;
import org.pollenspar.core.version.FleetFileParser;
import org.pollenspar.core.version.GossipValue;
import org.pollenspar.core.version.GossipValueKind;
import org.pollenspar.net.process.HostListJson;

/**
 * A value with its JSON form and, for a configuration, the parsed fleet file. It is decoded before
 * the control thread receives it, because parsing a large file takes milliseconds.
 *
 * @param value the value
 * @param json JSON form that is sent to peers
 * @param file parsed fleet file; empty for a host list
 */
record DecodedValue(GossipValue value, String json, Optional<FleetFile> file) {
  private static final FleetFileParser PARSER = new FleetFileParser();

  static Either<PollensparError, DecodedValue> decode(GossipValueKind kind, String json) {
    return switch (kind) {
      case CONFIGURATION ->
          ConfigurationJson.decode(json).flatMap(value -> configuration(value, json));
      case HOST_LIST -> HostListJson.read(json).map(list -> hosts(list, json));
    };
  }

  static DecodedValue hosts(HostList list) {
    return hosts(list, HostListJson.write(list));
  }

  private static DecodedValue hosts(HostList list, String json) {
    return new DecodedValue(new GossipValue.Hosts(list), json, Optional.empty());
  }

  private static Either<PollensparError, DecodedValue> configuration(
      ConfigurationVersion version, String json) {
    Either<List<PollensparError>, FleetFile> parsed =
        PARSER.parse("version " + version.version(), version.text());
    return parsed
        .mapLeft(errors -> errors.get(0))
        .map(
            file ->
                new DecodedValue(new GossipValue.Configuration(version), json, Optional.of(file)));
  }
}
