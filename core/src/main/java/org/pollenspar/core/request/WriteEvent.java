package org.pollenspar.core.request;

import java.util.List;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.Primary;
import org.pollenspar.core.process.PollensparError;

/** An event in the course of one write; input of {@link WriteStateMachine}. */
public sealed interface WriteEvent {

  /**
   * An attempt starts: step 1 is about to be sent.
   *
   * @param primary database that it is sent to, with its term
   */
  record Started(Primary primary) implements WriteEvent {}

  /**
   * Step 1 ended: the key had no record, and the open transaction has inserted it.
   *
   * @param state state of the database, read in step 1
   */
  record Opened(DatabaseState state) implements WriteEvent {}

  /**
   * The key has a committed record.
   *
   * @param record the record
   * @param stateAfter state of the database, read by a later statement than the record. A position
   *     that was read before the record may precede the commit of the record, so a majority that
   *     holds it would prove nothing about the record.
   */
  record KeyFound(KeyRecord record, DatabaseState stateAfter) implements WriteEvent {}

  /** The key is a duplicate but has no committed record: another attempt with it is running. */
  record KeyBusy() implements WriteEvent {}

  /**
   * All statements ran and affected the expected rows.
   *
   * @param tables their results, to be written into the key's record
   */
  record StatementsMatched(List<ResultTable> tables) implements WriteEvent {

    public StatementsMatched {
      tables = List.copyOf(tables);
    }
  }

  /**
   * A statement was refused or did not affect the expected number of rows, and the transaction was
   * rolled back.
   *
   * @param error reason to report to the caller
   */
  record StatementsRejected(PollensparError error) implements WriteEvent {}

  /**
   * The commit of the change, or of the record "not run", was answered.
   *
   * @param state state of the database, read after the commit
   */
  record Committed(DatabaseState state) implements WriteEvent {}

  /** A majority of the group holds the awaited position. */
  record MajorityHeld() implements WriteEvent {}

  /**
   * The attempt failed because of the connection, a timeout, the protocol, a serialization failure
   * or a deadlock. The transaction is rolled back unless a commit was sent.
   *
   * @param error reason
   */
  record Failed(PollensparError error) implements WriteEvent {}

  /** The database refused the attempt because it is not the primary (SQLSTATE 25006). */
  record NotPrimary() implements WriteEvent {}

  /**
   * A term above that of the attempt has become known.
   *
   * @param term the higher term
   */
  record Superseded(long term) implements WriteEvent {}

  /**
   * The write is refused while no attempt runs: the queue is full, the deadline cannot be met, the
   * proxy is draining, or there is no primary.
   *
   * @param error reason
   * @param retryAfterMillis time after which the caller should retry
   */
  record Refused(PollensparError error, long retryAfterMillis) implements WriteEvent {}

  /** The deadline has passed; a running attempt, if any, is abandoned. */
  record DeadlinePassed() implements WriteEvent {}
}
