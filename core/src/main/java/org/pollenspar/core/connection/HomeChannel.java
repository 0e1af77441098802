package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.pollenspar.core.process.Member;

/** The connection to a home host, over which this host forwards statements. */
public interface HomeChannel {
  /** Returns whether the connection exists or is being opened. */
  boolean usable();

  /**
   * Forwards a statement.
   *
   * @param done receives the outcome, exactly once and not before this method returns
   * @return id of the statement, for {@link #end}
   */
  long forward(ForwardedRequest request, Consumer<ForwardOutcome> done);

  /** Returns an id for a new transaction. */
  long nextTransaction();

  /**
   * Tells the home that the caller of a statement has disconnected, or that a transaction ends
   * without a commit.
   */
  void end(long id);

  /** Finds the connections to homes. */
  interface Directory {
    /** Returns the connection to a home; opens one if there is none. */
    HomeChannel channel(Member home);
  }
}
