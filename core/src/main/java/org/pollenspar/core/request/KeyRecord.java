package org.pollenspar.core.request;

import java.util.List;
import org.pollenspar.core.process.PollensparError;

/**
 * The idempotency record of a key, as read from the database.
 *
 * @param fingerprint fingerprint of the request that wrote it
 * @param result outcome of that request
 */
public record KeyRecord(String fingerprint, Result result) {

  /** Outcome of the request that wrote a record. */
  public sealed interface Result {

    /**
     * Its statements were committed together with the record.
     *
     * @param tables results of the statements
     */
    record Ran(List<ResultTable> tables) implements Result {

      public Ran {
        tables = List.copyOf(tables);
      }
    }

    /**
     * Only the record was committed. Since keys are unique, it prevents every other attempt with
     * this key from committing.
     *
     * @param error why the statements were not run
     */
    record NotRun(PollensparError error) implements Result {}
  }
}
