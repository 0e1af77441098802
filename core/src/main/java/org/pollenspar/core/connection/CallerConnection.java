package org.pollenspar.core.connection;

import org.pollenspar.core.request.Answer;

/** The way back to a caller. */
public interface CallerConnection {
  /** Delivers the answer to the oldest statement that has none. */
  void answer(Answer answer);

  /** Closes the caller's connection after what was written. */
  void close();
}
