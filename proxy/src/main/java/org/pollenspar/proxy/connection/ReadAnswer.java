package org.pollenspar.proxy.connection;

import java.util.List;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.ResultTable;

/** The result of sending a read to a database. */
sealed interface ReadAnswer {

  /**
   * The complete answer.
   *
   * @param state state of the database before the statements ran
   * @param tables one table per statement
   */
  record Answered(DatabaseState state, List<ResultTable> tables) implements ReadAnswer {}

  /**
   * The database refused a statement, or its number of rows is not as expected; a retry would give
   * the same error.
   *
   * @param error reason
   */
  record Refused(PollensparError error) implements ReadAnswer {}

  /**
   * No complete answer arrived.
   *
   * @param error reason
   */
  record Failed(PollensparError error) implements ReadAnswer {}
}
