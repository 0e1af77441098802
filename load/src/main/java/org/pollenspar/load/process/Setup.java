package org.pollenspar.load.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.pollenspar.load.connection.LoadSession;
import org.pollenspar.load.request.LoadRequest;
import org.pollenspar.load.request.StatementTemplate;

/** Creates the tables, accounts and counters of a run by requests to the proxies. */
final class Setup {
  private static final int DEADLINE_MILLIS = 1000;
  private static final int ROWS_PER_INSERT = 100;

  private final LoadPlan plan;
  private final String runId;
  private final ProxyClient client;
  private final RetryingClient persistence;
  private int requests;

  Setup(LoadPlan plan, String runId, ProxyClient client) {
    this.plan = plan;
    this.runId = runId;
    this.client = client;
    this.persistence = new RetryingClient(client);
  }

  /**
   * Creates all data and returns the sessions of the run. They hold the tokens of the setup, so
   * their reads include everything that was created.
   */
  List<LoadSession> run() throws IOException, InterruptedException {
    LoadSession setupSession = new LoadSession("", "", List.of(client.openSession()));
    for (int i = 0; i < plan.groups().size(); i++) {
      createTables(plan.groups().get(i), setupSession);
      insert(plan.groups().get(i), "account", accountRows(i), setupSession);
      insert(plan.groups().get(i), "counter", counterRows(i), setupSession);
    }
    List<LoadSession> sessions = new ArrayList<>();
    for (int i = 0; i < plan.sessions(); i++) {
      List<String> tokens = new ArrayList<>(List.of(client.openSession()));
      tokens.addAll(setupSession.tokens());
      sessions.add(new LoadSession(sessionId(i), groupOf(i), tokens));
    }
    return sessions;
  }

  static String accountId(String runId, int group, int account) {
    return runId + "-g" + group + "-a" + account;
  }

  private String sessionId(int session) {
    return runId + "-s" + session;
  }

  private String groupOf(int session) {
    return plan.groups().get(session % plan.groups().size());
  }

  private void createTables(String group, LoadSession setupSession)
      throws IOException, InterruptedException {
    for (String sql :
        List.of(
            "CREATE TABLE IF NOT EXISTS account (id text PRIMARY KEY, balance int8)",
            "CREATE TABLE IF NOT EXISTS counter (id text PRIMARY KEY, value int8)",
            "CREATE TABLE IF NOT EXISTS redemption (id text PRIMARY KEY, account text)")) {
      run(group, sql, setupSession);
    }
  }

  private void insert(String group, String table, List<String> rows, LoadSession setupSession)
      throws IOException, InterruptedException {
    for (int i = 0; i < rows.size(); i += ROWS_PER_INSERT) {
      List<String> batch = rows.subList(i, Math.min(rows.size(), i + ROWS_PER_INSERT));
      run(group, "INSERT INTO " + table + " VALUES " + String.join(", ", batch), setupSession);
    }
  }

  private List<String> accountRows(int group) {
    List<String> rows = new ArrayList<>();
    for (int i = 0; i < plan.accounts(); i++) {
      rows.add("('" + accountId(runId, group, i) + "', " + plan.openingBalance() + ")");
    }
    return rows;
  }

  private List<String> counterRows(int group) {
    List<String> rows = new ArrayList<>();
    for (int i = group; i < plan.sessions(); i += plan.groups().size()) {
      rows.add("('" + sessionId(i) + "', 0)");
    }
    return rows;
  }

  private void run(String group, String sql, LoadSession setupSession)
      throws IOException, InterruptedException {
    requests++;
    String key = runId + "-setup-" + requests;
    List<StatementTemplate> statements =
        List.of(new StatementTemplate(sql, StatementTemplate.ANY_ROWS));
    persistence.sendUntilDone(
        new LoadRequest(plan.setupKind(), group, key, "", DEADLINE_MILLIS, statements),
        setupSession);
  }
}
