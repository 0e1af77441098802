package org.pollenspar.load.process;

import java.util.List;
import java.util.Map;
import org.pollenspar.load.connection.LoadSession;
import org.pollenspar.load.request.Check;
import org.pollenspar.load.request.WorkAnswer;

/**
 * Checks the rows of a read that was done: they must be complete, belong to the request, and
 * include the writes that the session had confirmed.
 */
final class ReadResultValidator {
  private final GuaranteeViolations violations;

  ReadResultValidator(GuaranteeViolations violations) {
    this.violations = violations;
  }

  /**
   * Checks an answer and records each violation; answers to writes hold nothing to check.
   *
   * @param values values of the request's placeholders
   * @param floor counter value that was confirmed before the request was sent
   */
  void check(
      Check check, Map<String, String> values, LoadSession session, long floor, WorkAnswer answer) {
    if (check.writes()) {
      return;
    }
    List<List<String>> rows = answer.rows(0);
    String echo = values.getOrDefault("echo", "");
    for (List<String> row : rows) {
      if (row.isEmpty() || !row.get(0).equals(echo)) {
        violations.add("P4: request " + echo + " received the row " + row);
        return;
      }
    }
    switch (check) {
      case COUNTER_READ -> checkCounter(rows, echo, session, floor);
      case LOOKUP -> checkAccount(rows, echo, values.getOrDefault("account", ""));
      default -> {
        // The rows of the plan's own statements are unknown but for the echo.
      }
    }
  }

  private void checkCounter(List<List<String>> rows, String echo, LoadSession session, long floor) {
    if (rows.size() != 1 || rows.get(0).size() != 2) {
      violations.add("P4: request " + echo + " received " + rows + " instead of one counter");
      return;
    }
    session.checkRead(Long.parseLong(rows.get(0).get(1)), floor).ifPresent(violations::add);
  }

  private void checkAccount(List<List<String>> rows, String echo, String account) {
    boolean complete = rows.size() == 1 && rows.get(0).size() == 3;
    if (!complete || !rows.get(0).get(1).equals(account)) {
      violations.add("P4: request " + echo + " for account " + account + " received " + rows);
    }
  }
}
