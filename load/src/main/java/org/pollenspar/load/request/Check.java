package org.pollenspar.load.request;

import java.util.List;
import java.util.Locale;

/** What a kind of request is checked for, with the statements that the check needs. */
public enum Check {
  /** Takes one from an account and notes it in the ledger. */
  REDEEM(
      true,
      List.of(
          new StatementTemplate(
              "UPDATE account SET balance = balance - 1 WHERE id = '{account}' AND balance >= 1",
              1),
          new StatementTemplate("INSERT INTO redemption VALUES ('{key}', '{account}')", 1))),

  /** Writes the next number into the session's counter. */
  COUNTER_WRITE(
      true,
      List.of(
          new StatementTemplate("UPDATE counter SET value = {value} WHERE id = '{session}'", 1))),

  /** Reads the session's counter. */
  COUNTER_READ(
      false,
      List.of(
          new StatementTemplate(
              "SELECT '{echo}', value FROM counter WHERE id = '{session}'",
              StatementTemplate.ANY_ROWS))),

  /** Reads an account. */
  LOOKUP(
      false,
      List.of(
          new StatementTemplate(
              "SELECT '{echo}', id, balance FROM account WHERE id = '{account}'",
              StatementTemplate.ANY_ROWS))),

  /** Statements of the plan that read; the first column of every row must be the echo. */
  ECHO(false, List.of()),

  /** Statements of the plan that write; only the outcome is counted. */
  NONE(true, List.of());

  private final boolean writes;
  private final List<StatementTemplate> statements;

  Check(boolean writes, List<StatementTemplate> statements) {
    this.writes = writes;
    this.statements = statements;
  }

  /** Returns whether the requests change data. */
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
