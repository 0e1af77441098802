package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.version.RouteTable;

/** A network connection to a database. Runs one command at a time. */
public interface PhysicalConnection {
  /**
   * Sends a command. The callback is called exactly once, with {@link AnswerCode#LOST} if the
   * connection ends before the answer is complete.
   */
  void run(DatabaseCommand command, Consumer<Answer> done);

  /** Returns whether the connection is open, as far as this host knows. */
  boolean usable();

  /** Closes the connection; the database rolls back a transaction that is open on it. */
  void close();

  /** Opens connections. */
  interface Opener {
    /**
     * Opens a connection and calls exactly one method of the listener, now or later.
     *
     * @param organisation organisation whose statements will run on the connection; {@link
     *     RouteTable#NO_ORGANISATION} for those of this host and of callers without keys
     */
    void open(DatabaseEntry database, String organisation, OpenListener listener);
  }

  /** Receives the outcome of an attempt to connect. */
  interface OpenListener {
    /** The database accepted the connection. */
    void opened(PhysicalConnection connection, Answer greeting);

    /** The database refused the connection or was unreachable ({@link AnswerCode#LOST}). */
    void refused(Answer reason);
  }
}
