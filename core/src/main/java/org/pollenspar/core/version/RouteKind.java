package org.pollenspar.core.version;

/** Which databases may answer the reads of a route. */
public enum RouteKind {
  /** Reads include every acknowledged write. */
  PRIMARY,
  /** Reads may return data as old as {@link Route#maxStalenessMillis}. */
  BOUNDED,
  /** Like {@link #BOUNDED}, but reads always include the writes of their own session. */
  READ_YOUR_WRITES
}
