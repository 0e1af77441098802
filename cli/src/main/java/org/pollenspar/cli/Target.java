package org.pollenspar.cli;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.net.process.HostDirectory;

/**
 * A process with an operators' listener.
 *
 * @param id its id, or its address if it was named on the command line
 * @param address IP number
 * @param port port of the operators' listener
 * @param role proxy or failover; empty if unknown
 * @param domain failure domain; empty if unknown
 * @param hostState state in the host list; empty if unknown
 */
record Target(String id, String address, int port, String role, String domain, String hostState) {
  private static final Pattern ADDRESS = Pattern.compile("([^:\\s]+):(\\d{1,5})");

  /** Returns the processes that the options name. */
  static Either<PollensparError, List<Target>> of(TargetOptions options, CliContext context) {
    if (!options.admin.isEmpty()) {
      return Either.right(options.admin.stream().map(Target::parse).toList());
    }
    return fromHostList(context.platform(options.platform));
  }

  /** Returns the processes in the platform's host list. */
  static Either<PollensparError, List<Target>> fromHostList(HostDirectory directory) {
    return directory.watch(0, Duration.ZERO).map(Target::fromHosts);
  }

  private static List<Target> fromHosts(Optional<HostList> list) {
    List<Target> targets = new ArrayList<>();
    for (Host host : list.orElse(HostList.EMPTY).hosts()) {
      if (host.role() != HostRole.BACKEND_SERVER && host.adminPort() > 0) {
        targets.add(
            new Target(
                host.id(),
                host.address(),
                host.adminPort(),
                host.role().name().toLowerCase(Locale.ROOT),
                host.domain(),
                host.state().name().toLowerCase(Locale.ROOT)));
      }
    }
    targets.sort(Comparator.comparing(Target::role).reversed().thenComparing(Target::id));
    return targets;
  }

  private static Target parse(String address) {
    Matcher matcher = ADDRESS.matcher(address);
    if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > 65_535) {
      throw CliContext.invalidOption(
          "--admin: \"" + address + "\" is not of the form ADDRESS:PORT");
    }
    return new Target(address, matcher.group(1), Integer.parseInt(matcher.group(2)), "", "", "");
  }

  boolean liveProxy() {
    return role.equals("proxy") && hostState.equals("live");
  }
}
