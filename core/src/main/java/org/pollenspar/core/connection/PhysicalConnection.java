package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;

/** One connection to a database. Runs one command at a time. */
public interface PhysicalConnection {
  /**
   * Sends a command. The callback is called exactly once; if the connection ends first, with {@link
   * AnswerCode#LOST}.
   */
  void run(DatabaseCommand command, Consumer<Answer> done);

  /** Closes the connection; the database rolls back what is open on it. */
  void close();

  /** Opens connections. */
  interface Opener {
    /** Opens a connection and calls one method of the listener, now or later. */
    void open(DatabaseEntry database, OpenListener listener);
  }

  /** Receives the outcome of an attempt to connect. */
  interface OpenListener {
    /** The database accepted the connection. */
    void opened(PhysicalConnection connection, Answer greeting);

    /** The database refused it, or could not be reached ({@link AnswerCode#LOST}). */
    void refused(Answer reason);
  }
}
