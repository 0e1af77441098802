package org.pollenspar.proxy.connection;

import java.util.Collection;
import java.util.Locale;
import java.util.Optional;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.request.AdmissionQueue;
import org.pollenspar.core.request.Rank;
import org.pollenspar.core.request.ReadRouter;
import org.pollenspar.core.request.WorkRequest;

/**
 * How homes order waiting requests and choose databases for reads. The policies differ in nothing
 * else, so that a comparison of them shows the effect of these two choices.
 */
public enum HomePolicy {
  /** Queues by rank, with the floors that ranks declare; reads go to replicas first. */
  STANDARD {
    @Override
    <T> AdmissionQueue<T> newQueue(Collection<Rank> ranks) {
      return AdmissionQueue.ranked(ranks);
    }

    @Override
    ReadRouter router(WorkRequest request) {
      return REPLICAS_FIRST;
    }
  },
  /**
   * Baseline that the standard policy is compared with: one queue for all ranks; reads go to the
   * primary unless their kind accepts staleness and the session has no writes.
   */
  BASELINE {
    @Override
    <T> AdmissionQueue<T> newQueue(Collection<Rank> ranks) {
      return AdmissionQueue.fifo(ranks);
    }

    @Override
    ReadRouter router(WorkRequest request) {
      boolean mayLag =
          request.kind().stalenessMillis() > 0 && request.sessionPosition().equals(Position.ZERO);
      return mayLag ? REPLICAS_FIRST : PRIMARY_ONLY;
    }
  };

  private static final ReadRouter REPLICAS_FIRST = ReadRouter.replicasFirst();
  private static final ReadRouter PRIMARY_ONLY = ReadRouter.primaryOnly();

  abstract <T> AdmissionQueue<T> newQueue(Collection<Rank> ranks);

  abstract ReadRouter router(WorkRequest request);

  /** Returns the policy with this name in settings. */
  public static Optional<HomePolicy> ofName(String name) {
    for (HomePolicy policy : values()) {
      if (policy.settingName().equals(name)) {
        return Optional.of(policy);
      }
    }
    return Optional.empty();
  }

  /** Returns the name used in settings and in the status page. */
  public String settingName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
