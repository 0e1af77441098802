package org.pollenspar.core.connection;

/** The expected time of a request at a database. */
interface ExpectedTime {
  /** Returns the expected time until an answer, in nanoseconds. */
  double nanos(ConnectionPool pool, int priority, String organisation);
}
