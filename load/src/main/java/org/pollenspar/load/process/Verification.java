package org.pollenspar.load.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.pollenspar.load.connection.LoadSession;
import org.pollenspar.load.request.LoadRequest;
import org.pollenspar.load.request.StatementTemplate;
import org.pollenspar.load.request.WorkAnswer;

/**
 * Reads all accounts and ledgers at the end of a run and compares them with the outcomes reported
 * to callers.
 *
 * <p>All reads use one session whose token covers the tokens of all sessions, so every write that
 * was done must be visible to it. A request carries at most {@link LoadSession#MAX_TOKENS} tokens,
 * so the tokens are merged in batches: a read that sends a batch returns one token that covers it.
 */
final class Verification {
  private static final int DEADLINE_MILLIS = 1000;

  private final LoadPlan plan;
  private final String runId;
  private final ProxyClient client;
  private final RetryingClient persistence;
  private final RedemptionOutcomes redemptions;
  private final GuaranteeViolations violations;

  Verification(
      LoadPlan plan,
      String runId,
      ProxyClient client,
      RedemptionOutcomes redemptions,
      GuaranteeViolations violations) {
    this.plan = plan;
    this.runId = runId;
    this.client = client;
    this.persistence = new RetryingClient(client);
    this.redemptions = redemptions;
    this.violations = violations;
  }

  /** Compares all accounts; throws if an account cannot be read. */
  void run(List<LoadSession> sessions) throws IOException, InterruptedException {
    LoadSession reader = mergedSession(sessions);
    for (int group = 0; group < plan.groups().size(); group++) {
      for (int account = 0; account < plan.accounts(); account++) {
        verify(plan.groups().get(group), Setup.accountId(runId, group, account), reader);
      }
    }
  }

  private LoadSession mergedSession(List<LoadSession> sessions)
      throws IOException, InterruptedException {
    String merged = client.openSession();
    LoadRequest any = read(plan.groups().get(0), "none");
    for (LoadSession session : sessions) {
      List<String> tokens = session.tokens();
      for (int i = 0; i < tokens.size(); i += LoadSession.MAX_TOKENS - 1) {
        List<String> batch = new ArrayList<>(List.of(merged));
        batch.addAll(tokens.subList(i, Math.min(tokens.size(), i + LoadSession.MAX_TOKENS - 1)));
        LoadSession batchSession = new LoadSession("", "", batch);
        persistence.sendUntilDone(any, batchSession);
        merged = batchSession.tokens().get(0);
      }
    }
    return new LoadSession("", "", List.of(merged));
  }

  private void verify(String group, String account, LoadSession reader)
      throws IOException, InterruptedException {
    WorkAnswer answer = persistence.sendUntilDone(read(group, account), reader);
    List<List<String>> balances = answer.rows(0);
    if (balances.size() != 1 || balances.get(0).size() != 1) {
      violations.add("P2: account " + account + " must have one balance, read " + balances);
      return;
    }
    long decrease = plan.openingBalance() - Long.parseLong(balances.get(0).get(0));
    List<String> ledger = answer.rows(1).stream().map(row -> row.get(0)).toList();
    redemptions.verify(account, decrease, ledger).forEach(violations::add);
  }

  private LoadRequest read(String group, String account) {
    return new LoadRequest(
        plan.verifyKind(),
        group,
        "",
        "",
        DEADLINE_MILLIS,
        List.of(
            new StatementTemplate(
                "SELECT balance FROM account WHERE id = '" + account + "'",
                StatementTemplate.ANY_ROWS),
            new StatementTemplate(
                "SELECT id FROM redemption WHERE account = '" + account + "'",
                StatementTemplate.ANY_ROWS)));
  }
}
