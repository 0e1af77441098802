package org.pollenspar.core.version;

/** Which databases may answer the reads of a route. */
public enum RouteKind {
  /** Reads see every acknowledged write. */
  PRIMARY,
  /** Reads may be as old as the route's bound. */
  BOUNDED,
  /** As {@link #BOUNDED}, and a session sees its own writes. */
  READ_YOUR_WRITES
}
