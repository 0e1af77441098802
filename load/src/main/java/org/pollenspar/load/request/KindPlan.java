package org.pollenspar.load.request;

import java.util.List;

/**
 * One kind of request in a plan.
 *
 * @param name name of the row in the report; unique
 * @param kind kind of work in the applied file
 * @param rank rank, for the report
 * @param check what is checked
 * @param ratePerSecond requests a second over all groups, at multiplier 1
 * @param deadlineMillis deadline sent with the request
 * @param statements statements
 */
public record KindPlan(
    String name,
    String kind,
    int rank,
    Check check,
    double ratePerSecond,
    int deadlineMillis,
    List<StatementTemplate> statements) {

  /** Copies the list. */
  public KindPlan {
    statements = List.copyOf(statements);
  }
}
