package org.pollenspar.core.connection;

/**
 * A database at which statements run, as {@link GroupRouter} would decide now.
 *
 * @param reason name of a {@link ReadPlacement.Reason}, or {@link #LEAST_TIME} with one region
 * @param part part of the statements that run there, above 0 and up to 1
 */
record ExpectedTarget(ConnectionPool pool, String reason, double part) {
  /** It has the least expected time, with the additions for distance and for the primary. */
  static final String LEAST_TIME = "LEAST_TIME";
}
