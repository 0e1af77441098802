package org.pollenspar.core.connection;

/** Why a database may not answer a read now. */
public enum ReadObstacle {
  /** The last attempt to connect failed, or the database has left. */
  UNREACHABLE,
  /** Its log recently lacked a position that a read required. */
  LAGGING,
  /** It is about to leave the fleet. */
  DRAINING,
  /** No recent position of the primary's log is known, so a replica can't be asked for one. */
  NO_POSITION,
  /** It is the recorded primary, which is being replaced. */
  BEING_REPLACED,
  /** It is the recorded primary, and another database claims to be it. */
  CLAIMED_BY_ANOTHER,
  /** It is the recorded primary, and this host's confirmation isn't valid. */
  NOT_CONFIRMED,
  /** It isn't the primary, and only the primary may run the statement. */
  NOT_THE_PRIMARY
}
