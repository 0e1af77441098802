package org.pollenspar.core.connection;

import org.pollenspar.core.request.Answer;

/** A caller's connection, over which its session sends answers. */
public interface CallerConnection {
  /** Sends the answer to the oldest unanswered statement. */
  void answer(Answer answer);

  /** Closes the connection once the answers written so far are sent. */
  void close();
}
