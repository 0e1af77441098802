package org.pollenspar.load.request;

import java.util.List;

/**
 * One kind of request in a plan.
 *
 * @param name name of the row in the report; unique
 * @param kind kind of work as defined in the fleet file
 * @param rank rank under which the report lists the kind
 * @param check what is checked in the answers
 * @param ratePerSecond requests a second over all groups, at multiplier 1
 * @param deadlineMillis deadline sent with each request
 * @param statements statements with placeholders
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
