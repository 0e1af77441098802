package org.pollenspar.proxy.connection;

import java.util.List;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.ResultTable;

/** What a database answered to a read. */
sealed interface ReadAnswer {

  /**
   * The whole answer.
   *
   * @param state state of the database when the statements started
   * @param tables one per statement
   */
  record Answered(DatabaseState state, List<ResultTable> tables) implements ReadAnswer {}

  /**
   * The database refused a statement; asking again gives the same error.
   *
   * @param error reason
   */
  record Refused(PollensparError error) implements ReadAnswer {}

  /**
   * No whole answer came.
   *
   * @param error reason
   */
  record Failed(PollensparError error) implements ReadAnswer {}
}
