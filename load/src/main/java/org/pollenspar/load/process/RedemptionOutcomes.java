package org.pollenspar.load.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pollenspar.load.request.WorkAnswer.Outcome;

/**
 * Outcomes of all redemptions as reported to callers, compared with the stored accounts at the end
 * of the run: the ledger must hold each redemption that was done exactly once, and none that was
 * answered as not run. A redemption of unknown outcome may appear once.
 */
public final class RedemptionOutcomes {
  private final Map<String, Map<String, Outcome>> byAccount = new HashMap<>();

  /** Records the final outcome of a redemption; UNKNOWN if it could not be settled. */
  public synchronized void recordOutcome(String account, String key, Outcome outcome) {
    byAccount.computeIfAbsent(account, a -> new HashMap<>()).put(key, outcome);
  }

  /**
   * Compares the outcomes with a stored account.
   *
   * @param decrease opening balance minus current balance
   * @param ledger keys of the account's rows in the redemption table
   * @return descriptions of the violated guarantees
   */
  public synchronized List<String> verify(String account, long decrease, List<String> ledger) {
    Map<String, Outcome> outcomes = byAccount.getOrDefault(account, Map.of());
    List<String> violations = new ArrayList<>();
    if (decrease != ledger.size()) {
      violations.add(
          "P3: account "
              + account
              + " decreased by "
              + decrease
              + ", redemptions in its ledger: "
              + ledger.size());
    }
    Set<String> present = new HashSet<>(ledger);
    if (present.size() != ledger.size()) {
      violations.add("P6: account " + account + " has a redemption key twice in its ledger");
    }
    for (Map.Entry<String, Outcome> entry : outcomes.entrySet()) {
      boolean there = present.remove(entry.getKey());
      if (!there && entry.getValue() == Outcome.DONE) {
        violations.add(
            "P2: redemption " + entry.getKey() + " was answered as done and is not in the ledger");
      } else if (there && entry.getValue() == Outcome.NOT_RUN) {
        violations.add(
            "P5: redemption " + entry.getKey() + " was answered as not run and is in the ledger");
      }
    }
    present.forEach(
        key ->
            violations.add(
                "P4: account " + account + " has a key in its ledger that no caller sent: " + key));
    return violations;
  }
}
