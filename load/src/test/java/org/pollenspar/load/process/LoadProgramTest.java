package org.pollenspar.load.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the load generator against a fake proxy that keeps its guarantees or violates one of them.
 */
class LoadProgramTest {
  private static final String PLAN =
      """
      groups = ["g1", "g2"]
      sessions = 6
      accounts = 3
      opening_balance = 1000
      setup_kind = "setup"
      verify_kind = "verify"

      [[kinds]]
      name = "redeem"
      rank = 1
      check = "redeem"
      rate = 60
      [[kinds]]
      name = "count"
      rank = 2
      check = "counter_write"
      rate = 60
      [[kinds]]
      name = "count_read"
      rank = 2
      check = "counter_read"
      rate = 120
      [[kinds]]
      name = "lookup"
      rank = 3
      check = "lookup"
      rate = 30

      [[phases]]
      name = "calm"
      seconds = 1
      [[phases]]
      name = "flood"
      seconds = 1
      multipliers = {lookup = 5}
      """;

  @TempDir private Path directory;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  private int run(String plan, String... more) throws Exception {
    Path file = Files.writeString(directory.resolve("plan.toml"), plan);
    List<String> arguments = new ArrayList<>(List.of("--plan", file.toString()));
    arguments.addAll(List.of(more));
    return new LoadProgram(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(errors, true, StandardCharsets.UTF_8))
        .run(arguments.toArray(String[]::new));
  }

  /**
   * Guards against checks that miss a violated guarantee, or that report one for an allowed fault
   * such as an unknown outcome, a lost answer or a refusal.
   */
  @Nested
  class Guarantees {
    @ParameterizedTest
    @CsvSource({
      "NONE, 0, broken promises: 0",
      "UNKNOWN_FIRST, 0, broken promises: 0",
      "NO_ANSWER_FIRST, 0, broken promises: 0",
      "REFUSES, 0, broken promises: 0",
      "STALE_COUNTER, 3, P1:",
      "FOREIGN_ROW, 3, P4:",
      "HALF_ROWS, 3, P4:",
      "LOST_REDEMPTION, 3, P2:",
      "REDEMPTION_RUN_TWICE, 3, P4:",
      "HALF_TRANSACTION, 3, P3:",
      "RUN_BUT_NOT_RUN, 3, P5:",
      "COUNTER_RUN_BUT_NOT_RUN, 3, P5:",
    })
    void violationsAreReported(FakeProxy.Fault fault, int exit, String expected) throws Exception {
      try (FakeProxy proxy = new FakeProxy(fault)) {
        assertEquals(exit, run(PLAN, "--proxies", proxy.url(), "--seed", "7"), errors::toString);
      }
      String report = out.toString(StandardCharsets.UTF_8);
      assertTrue(report.contains(expected), report);
    }
  }

  /**
   * Guards against statistics that omit a request or count it twice, and against gaps measured over
   * all groups, where one group hides the outage of another.
   */
  @Nested
  class Statistics {
    @Test
    void everyRequestIsCountedOnce() throws Exception {
      Path csv = directory.resolve("figures.csv");
      try (FakeProxy proxy = new FakeProxy(FakeProxy.Fault.NONE)) {
        run(PLAN, "--proxies", proxy.url() + "," + proxy.url(), "--csv", csv.toString());
      }
      long kinds = 0;
      long lookups = 0;
      for (String line : Files.readAllLines(csv).subList(1, 22)) {
        String[] cells = line.split(",", -1);
        assertEquals(
            number(cells, 3),
            number(cells, 4) + number(cells, 5) + number(cells, 7) + number(cells, 9),
            line);
        kinds += cells[0].equals("flood") && !cells[2].equals("*") ? 1 : 0;
        lookups += cells[0].equals("all") && cells[2].equals("lookup") ? number(cells, 3) : 0;
        boolean read = cells[2].equals("lookup") || cells[2].equals("count_read");
        assertEquals(read ? "1.0000" : "", cells[14], line);
      }
      assertEquals(4, kinds);
      // 30 a second for one second and 150 for another, 180 in all; the seed fixes the exact
      // number.
      assertTrue(lookups > 120 && lookups < 240, "lookups " + lookups);
    }

    private static long number(String[] cells, int column) {
      return Long.parseLong(cells[column]);
    }

    @Test
    void gapIsTheLongestTimeWithoutADoneAnswer() {
      KindStatistics statistics = new KindStatistics(0, List.of("g1", "g2"));
      statistics.done("g1", 10_000_000, 1_000_000, true, false);
      statistics.done("g2", 30_000_000, 1_000_000, true, false);
      statistics.done("g1", 50_000_000, 2_000_000, false, true);
      statistics.phaseEnded(60_000_000);
      KindStatistics.Summary summary = statistics.summary();
      assertEquals(40.0, summary.gap());
      assertEquals(3, summary.done());
      assertEquals(2, summary.inDeadline());
      assertEquals(1, summary.fromReplica());
      assertEquals(2.0, summary.maximum(), 0.01);
    }
  }

  /** Guards against plans in the repository that the generator rejects. */
  @Nested
  class Plans {
    @ParameterizedTest
    @ValueSource(strings = {"vale-lector", "aridos"})
    void areValid(String name) {
      LoadPlan plan = LoadPlanReader.read(Path.of("plans", name + ".toml"));
      assertEquals(3, plan.groups().size());
      assertEquals(20, plan.scaledTo(20).phases().stream().mapToDouble(p -> p.seconds()).sum());
    }
  }

  /**
   * Guards against a run with a plan or options that are invalid, such as a misspelled key that is
   * ignored, and against error messages that do not name the key at fault.
   */
  @Nested
  class InvalidInput {
    @ParameterizedTest
    @CsvSource({
      "sessions = 6, sesions = 6, sesions",
      "check = \"redeem\", check = \"redeme\", redeme",
      "rate = 30, rate = 0, lookup.rate",
      "check = \"lookup\", check = \"echo\", lookup.statements",
      "multipliers = {lookup = 5}, multipliers = {lokup = 5}, lokup",
      "setup_kind = \"setup\", , setup_kind",
      "seconds = 1, seconds = 0, seconds",
      "accounts = 3, accounts = [, line",
    })
    void messageNamesTheKey(String from, String to, String named) throws Exception {
      String plan = PLAN.replace(from, to == null ? "" : to);
      assertEquals(2, run(plan, "--proxies", "http://127.0.0.1:1"));
      String message = errors.toString(StandardCharsets.UTF_8);
      assertTrue(message.contains(named), message);
    }

    @ParameterizedTest
    @CsvSource({"127.0.0.1, --proxies", "http://127.0.0.1, --proxies"})
    void messageNamesTheProxyOption(String proxy, String named) throws Exception {
      assertEquals(2, run(PLAN, "--proxies", proxy));
      assertTrue(errors.toString(StandardCharsets.UTF_8).contains(named));
    }

    @Test
    void unreachableProxyLeavesTheRunIncomplete() throws IOException, Exception {
      assertEquals(1, run(PLAN, "--proxies", "http://127.0.0.1:1"));
    }
  }
}
