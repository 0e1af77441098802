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
 * A process whose admin listener a command queries. A target from the command line has an address
 * and a port only; its role, domain and state are empty.
 *
 * @param id host id, or ADDRESS:PORT if the target comes from the command line
 * @param address IP address
 * @param port port of the admin listener
 * @param role {@code proxy} or {@code failover}
 * @param domain failure domain
 * @param hostState state in the host list
 */
record Target(String id, String address, int port, String role, String domain, String hostState) {
  private static final Pattern ADDRESS = Pattern.compile("([^:\\s]+):(\\d{1,5})");

  /** Returns the processes given with {@code --admin}, else those in the platform's host list. */
  static Either<PollensparError, List<Target>> of(TargetOptions options, CliContext context) {
    if (!options.admin.isEmpty()) {
      return Either.right(options.admin.stream().map(Target::parse).toList());
    }
    return fromHostList(context.platform(options.platform));
  }

  /** Returns the processes in the platform's host list, proxies before failover agents. */
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
