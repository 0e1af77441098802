package org.pollenspar.load.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pollenspar.load.request.WorkAnswer.Outcome;

/**
 * What was said of every redemption, to be compared with the accounts at the end: a redemption that
 * was done appears once, one that was not run never appears.
 */
public final class RedemptionOutcomes {
  private final Map<String, Map<String, Outcome>> byAccount = new HashMap<>();

  /** Notes the final outcome of a redemption; UNKNOWN if it could not be settled. */
  public synchronized void recordOutcome(String account, String key, Outcome outcome) {
    byAccount.computeIfAbsent(account, a -> new HashMap<>()).put(key, outcome);
  }

  /**
   * Compares with an account.
   *
   * @param decrease opening balance minus balance
   * @param ledger keys in the account's ledger
   * @return what is wrong
   */
  public synchronized List<String> verify(String account, long decrease, List<String> ledger) {
    Map<String, Outcome> outcomes = byAccount.getOrDefault(account, Map.of());
    List<String> violations = new ArrayList<>();
    if (decrease != ledger.size()) {
      violations.add(
          "P3: account " + account + " decreased by " + decrease + ", ledger " + ledger.size());
    }
    Set<String> present = new HashSet<>(ledger);
    if (present.size() != ledger.size()) {
      violations.add("P6: account " + account + " has a key twice in its ledger");
    }
    for (Map.Entry<String, Outcome> entry : outcomes.entrySet()) {
      boolean there = present.remove(entry.getKey());
      if (!there && entry.getValue() == Outcome.DONE) {
        violations.add("P2: redemption " + entry.getKey() + " was done and is lost");
      } else if (there && entry.getValue() == Outcome.NOT_RUN) {
        violations.add(
            "P5: redemption " + entry.getKey() + " was answered as not run and is there");
      }
    }
    present.forEach(key -> violations.add("P4: account " + account + " has unknown key " + key));
    return violations;
  }
}
