package org.pollenspar.load.request;

import java.util.List;
import java.util.Locale;

/**
 * What is checked in the answers to a kind of request, with the statements that the check needs.
 */
public enum Check {
  /** Takes one unit from an account and inserts a row with the request's key into its ledger. */
  REDEEM(
      true,
      List.of(
          new StatementTemplate(
              "UPDATE account SET balance = balance - 1 WHERE id = '{account}' AND balance >= 1",
              1),
          new StatementTemplate("INSERT INTO redemption VALUES ('{key}', '{account}')", 1))),

  /** Writes the next value of the session's counter. */
  COUNTER_WRITE(
      true,
      List.of(
          new StatementTemplate("UPDATE counter SET value = {value} WHERE id = '{session}'", 1))),

  /** Reads the session's counter, which must include the session's confirmed writes. */
  COUNTER_READ(
      false,
      List.of(
          new StatementTemplate(
              "SELECT '{echo}', value FROM counter WHERE id = '{session}'",
              StatementTemplate.ANY_ROWS))),

  /** Reads one account; the row must be the requested one. */
  LOOKUP(
      false,
      List.of(
          new StatementTemplate(
              "SELECT '{echo}', id, balance FROM account WHERE id = '{account}'",
              StatementTemplate.ANY_ROWS))),

  /** Read statements given by the plan; the first column of every row must be the echo. */
  ECHO(false, List.of()),

  /** Write statements given by the plan; only the outcome is counted. */
  NONE(true, List.of());

  private final boolean writes;
  private final List<StatementTemplate> statements;

  Check(boolean writes, List<StatementTemplate> statements) {
    this.writes = writes;
    this.statements = statements;
  }

  public boolean writes() {
    return writes;
  }

  /** Returns the statements; empty if the plan gives them. */
  public List<StatementTemplate> statements() {
    return statements;
  }

  /** Returns the name used in plans. */
  public String planName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
