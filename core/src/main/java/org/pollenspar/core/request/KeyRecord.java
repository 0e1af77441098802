package org.pollenspar.core.request;

import java.util.List;
import org.pollenspar.core.process.PollensparError;

/**
 * The idempotency record of a key, as found in the database.
 *
 * @param fingerprint fingerprint of the request that wrote it
 * @param result what became of that request
 */
public record KeyRecord(String fingerprint, Result result) {

  /** What became of the request that wrote a record. */
  public sealed interface Result {

    /**
     * Its statements were committed together with the record.
     *
     * @param tables their results
     */
    record Ran(List<ResultTable> tables) implements Result {

      /** Copies the list. */
      public Ran {
        tables = List.copyOf(tables);
      }
    }

    /**
     * The record alone was committed, to stop every attempt with this key.
     *
     * @param error why the statements were not run
     */
    record NotRun(PollensparError error) implements Result {}
  }
}
