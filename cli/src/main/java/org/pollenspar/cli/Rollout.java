package org.pollenspar.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.net.process.HostDirectory;

/**
 * Waits until every live proxy reports a configuration version, or a later one. Proxies that have
 * reported it are not queried again.
 */
final class Rollout {
  private final HostDirectory directory;
  private final AdminClient client;
  private final LongSupplier nanoTime;
  private final Applier.Pause pause;

  Rollout(HostDirectory directory, AdminClient client, LongSupplier nanoTime, Applier.Pause pause) {
    this.directory = directory;
    this.client = client;
    this.nanoTime = nanoTime;
    this.pause = pause;
  }

  /**
   * Waits at most {@code limit}, but makes at least one round. Each round reads the host list
   * again, because proxies that have left the fleet in the meantime need not report.
   *
   * @return the number of proxies that report the version, or an error that names the others
   */
  Either<PollensparError, Integer> await(long version, Duration limit) {
    long deadlineNanos = nanoTime.getAsLong() + limit.toNanos();
    Set<String> confirmed = new HashSet<>();
    while (true) {
      Either<PollensparError, List<Target>> targets = Target.fromHostList(directory);
      if (targets.isRight()) {
        List<Target> unconfirmed = findUnconfirmed(targets.get(), version, confirmed);
        if (unconfirmed.isEmpty()) {
          return Either.right(confirmed.size());
        }
        if (nanoTime.getAsLong() >= deadlineNanos) {
          String names = String.join(", ", unconfirmed.stream().map(Target::id).toList());
          return Either.left(PollensparError.of(ErrorKind.APPLY_INCOMPLETE, version, names));
        }
      } else if (nanoTime.getAsLong() >= deadlineNanos) {
        String reason = "unknown proxies, since the host list cannot be read";
        return Either.left(PollensparError.of(ErrorKind.APPLY_INCOMPLETE, version, reason));
      }
      pause.await();
    }
  }

  private List<Target> findUnconfirmed(List<Target> targets, long version, Set<String> confirmed) {
    List<Target> pending =
        targets.stream().filter(t -> t.liveProxy() && !confirmed.contains(t.id())).toList();
    client
        .readAll(pending, "/status")
        .forEach(
            (target, answer) ->
                answer
                    .flatMap(body -> Json.parse(target.id(), body))
                    .map(Rollout::version)
                    .filter(reported -> reported >= version)
                    .forEach(reported -> confirmed.add(target.id())));
    return pending.stream().filter(target -> !confirmed.contains(target.id())).toList();
  }

  private static long version(JsonNode status) {
    return status.path("config_version").asLong();
  }
}
