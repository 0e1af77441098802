package org.pollenspar.core.connection;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The databases that may answer a read now.
 *
 * @param primary database that may be used as the primary; null if there is none
 * @param requiredPosition position that the log of a replica must include; null if none is known
 */
record ReadCandidates(
    @Nullable ConnectionPool primary,
    @Nullable Position requiredPosition,
    List<ConnectionPool> usable) {

  /** Returns the same with only some of the databases. */
  ReadCandidates among(List<ConnectionPool> databases) {
    return new ReadCandidates(primary, requiredPosition, databases);
  }

  /** Returns one of the databases as the target of the read. */
  GroupRouter.StatementTarget target(
      ConnectionPool pool, ReadPlacement.@Nullable Choice<ConnectionPool> placement) {
    boolean atPrimary = pool == primary;
    return new GroupRouter.StatementTarget(
        pool, atPrimary ? null : requiredPosition, atPrimary, placement);
  }
}
