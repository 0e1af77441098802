package org.pollenspar.core.connection;

/** Why a database may not answer a read now. */
public enum ReadObstacle {
  /** The last attempt to connect failed, or the database has left. */
  UNREACHABLE,
  /** Transactions whose callers pause hold all connections of this host. */
  HELD,
  /** It fails more reads than others of its group, so reads avoid it. */
  EJECTED,
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
