package org.pollenspar.net.process;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.pollenspar.core.process.PollensparError;

/** The platform's database groups: terms, databases, fencing and promotion. */
public interface GroupService {

  /** Reads the state of a group. */
  Either<PollensparError, GroupStatus> status(String group, Duration timeout);

  /**
   * Orders every reachable database of the group to refuse terms below {@code term}.
   *
   * @return the databases that confirmed, or an error of kind {@code PLATFORM_REFUSED} if the term
   *     was granted to another owner or is not above every term granted before
   */
  Either<PollensparError, List<GroupDatabaseStatus>> fence(
      String group, long term, String owner, Duration timeout);

  /**
   * Makes a database the primary of {@code term}. Only the owner of the latest fence may do so.
   *
   * @return true, or an error of kind {@code PLATFORM_REFUSED} with the reason
   */
  Either<PollensparError, Boolean> promote(
      String group, long term, String owner, String databaseId, Duration timeout);

  /**
   * State of a group.
   *
   * @param group name
   * @param term highest term granted
   * @param primary id of the primary of the last promotion, if any
   * @param databases databases of the group
   */
  record GroupStatus(
      String group, long term, Optional<String> primary, List<GroupDatabaseStatus> databases) {}

  /**
   * State of a database as the platform last observed it.
   *
   * @param id name of the database
   * @param address IP address
   * @param port port of its PostgreSQL protocol
   * @param reachable whether the platform reaches it
   * @param fencedTerm the database refuses lower terms
   * @param logTerm term of its last log entry
   * @param offset offset of its last log entry
   */
  record GroupDatabaseStatus(
      String id,
      String address,
      int port,
      boolean reachable,
      long fencedTerm,
      long logTerm,
      long offset) {}
}
