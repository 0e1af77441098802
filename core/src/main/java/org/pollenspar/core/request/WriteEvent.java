package org.pollenspar.core.request;

import java.util.List;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.Primary;
import org.pollenspar.core.process.PollensparError;

/** What happens to one write, as told to {@link WriteStateMachine}. */
public sealed interface WriteEvent {

  /**
   * An attempt starts: the caller of this class is about to send step 1 (begin, state, key lookup
   * and key insertion).
   *
   * @param primary where it is sent
   */
  record Started(Primary primary) implements WriteEvent {}

  /**
   * Step 1 ended: the key had no record, and this transaction has inserted it.
   *
   * @param state state that came with the answer
   */
  record Opened(DatabaseState state) implements WriteEvent {}

  /**
   * The key has a committed record.
   *
   * @param record the record
   * @param stateAfter state read after the record in the order of statements. A state read before
   *     it may lie before the record's commit, and a majority that holds that position proves
   *     nothing about the record.
   */
  record KeyFound(KeyRecord record, DatabaseState stateAfter) implements WriteEvent {}

  /** The key was refused as a duplicate, but has no committed record: another attempt runs. */
  record KeyBusy() implements WriteEvent {}

  /**
   * All statements ran and affected the expected rows.
   *
   * @param tables their results, to be written into the key's record
   */
  record StatementsMatched(List<ResultTable> tables) implements WriteEvent {

    /** Copies the list. */
    public StatementsMatched {
      tables = List.copyOf(tables);
    }
  }

  /**
   * A statement was refused or affected other than the expected rows, and the transaction was
   * rolled back.
   *
   * @param error reason for the caller
   */
  record StatementsRejected(PollensparError error) implements WriteEvent {}

  /**
   * The commit was answered: that of the change, or that of the record "not run".
   *
   * @param state state read after the commit
   */
  record Committed(DatabaseState state) implements WriteEvent {}

  /** A majority holds the awaited position. */
  record MajorityHeld() implements WriteEvent {}

  /**
   * The attempt failed: connection, timeout, protocol, serialization or deadlock. The transaction
   * is rolled back unless a commit was sent.
   *
   * @param error reason
   */
  record Failed(PollensparError error) implements WriteEvent {}

  /** The database refused the attempt because it does not lead (SQLSTATE 25006). */
  record NotPrimary() implements WriteEvent {}

  /**
   * A term above that of the attempt is known.
   *
   * @param term the higher term
   */
  record Superseded(long term) implements WriteEvent {}

  /**
   * The write is refused while no attempt runs: queue, drain, no primary, or deadline.
   *
   * @param error reason
   * @param retryAfterMillis when to try again
   */
  record Refused(PollensparError error, long retryAfterMillis) implements WriteEvent {}

  /** The deadline has passed; a running attempt is abandoned. */
  record DeadlinePassed() implements WriteEvent {}
}
