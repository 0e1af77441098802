package org.pollenspar.load.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.pollenspar.load.connection.CallerSession;
import org.pollenspar.load.request.Answer;
import org.pollenspar.load.request.StatementTemplate;
import org.pollenspar.load.request.WorkCall;

/**
 * Reads all accounts and ledgers at the end and compares them with what callers were told. The
 * reading session holds the tokens of all sessions, so every done write must be visible to it.
 */
final class Verification {
  private static final int DEADLINE_MILLIS = 1000;

  private final LoadPlan plan;
  private final String runId;
  private final ProxyClient client;
  private final Persistence persistence;
  private final Redemptions redemptions;
  private final BrokenPromises broken;

  Verification(
      LoadPlan plan,
      String runId,
      ProxyClient client,
      Redemptions redemptions,
      BrokenPromises broken) {
    this.plan = plan;
    this.runId = runId;
    this.client = client;
    this.persistence = new Persistence(client);
    this.redemptions = redemptions;
    this.broken = broken;
  }

  /** Compares everything; fails if an account cannot be read. */
  void run(List<CallerSession> sessions) throws IOException, InterruptedException {
    CallerSession reader = mergedSession(sessions);
    for (int group = 0; group < plan.groups().size(); group++) {
      for (int account = 0; account < plan.accounts(); account++) {
        verify(plan.groups().get(group), Setup.accountId(runId, group, account), reader);
      }
    }
  }

  private CallerSession mergedSession(List<CallerSession> sessions)
      throws IOException, InterruptedException {
    String merged = client.openSession();
    WorkCall any = read(plan.groups().get(0), "none");
    for (CallerSession session : sessions) {
      List<String> tokens = session.tokens();
      for (int i = 0; i < tokens.size(); i += CallerSession.MAX_TOKENS - 1) {
        List<String> batch = new ArrayList<>(List.of(merged));
        batch.addAll(tokens.subList(i, Math.min(tokens.size(), i + CallerSession.MAX_TOKENS - 1)));
        CallerSession carrier = new CallerSession("", "", batch);
        persistence.untilDone(any, carrier);
        merged = carrier.tokens().get(0);
      }
    }
    return new CallerSession("", "", List.of(merged));
  }

  private void verify(String group, String account, CallerSession reader)
      throws IOException, InterruptedException {
    Answer answer = persistence.untilDone(read(group, account), reader);
    List<List<String>> balances = answer.rows(0);
    if (balances.size() != 1 || balances.get(0).size() != 1) {
      broken.add("P2: account " + account + " reads as " + balances);
      return;
    }
    long decrease = plan.openingBalance() - Long.parseLong(balances.get(0).get(0));
    List<String> ledger = answer.rows(1).stream().map(row -> row.get(0)).toList();
    redemptions.verify(account, decrease, ledger).forEach(broken::add);
  }

  private WorkCall read(String group, String account) {
    return new WorkCall(
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
