package org.pollenspar.core.version;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.DynamicTest.dynamicTest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.Access;

/** Guards against accepting an invalid fleet file and against errors that do not name the key. */
class FleetFileParserTest {
  private static final JsonNode REFUSALS = loadRefusals();

  private final FleetFileParser parser = new FleetFileParser();

  static String base() {
    return REFUSALS.path("base").textValue();
  }

  @TestFactory
  Stream<DynamicTest> refusals() {
    return REFUSALS
        .path("case")
        .valueStream()
        .map(c -> dynamicTest(c.path("name").textValue(), () -> checkRefusal(c)));
  }

  private void checkRefusal(JsonNode refusal) {
    String find = refusal.path("find").asText("");
    String replacement = refusal.path("replace").textValue();
    assertTrue(base().contains(find), "the case changes nothing");
    String text = find.isEmpty() ? replacement : base().replace(find, replacement);
    List<PollensparError> errors = parser.parse("f.toml", text).getLeft();
    List<String> expected =
        refusal.path("expect").valueStream().map(JsonNode::textValue).sorted().toList();
    assertEquals(expected.size(), errors.size(), () -> errors.toString());
    for (String line : expected) {
      int number = Integer.parseInt(line.substring(0, 3));
      String part = line.substring(4);
      assertTrue(
          errors.stream().anyMatch(e -> e.kind().number() == number && e.message().contains(part)),
          () -> line + " is not among " + errors);
    }
    assertTrue(errors.stream().allMatch(e -> e.message().contains("f.toml")));
  }

  /** Files that are accepted. */
  @Nested
  class Accepted {
    @Test
    void valuesAndDefaults() {
      FleetFile file = parser.parse("f.toml", base()).get();
      assertEquals("Vale", file.deployment());
      assertEquals(24, file.keyRetentionHours());
      assertEquals(8, file.maxStatements());
      assertEquals(20, file.ranks().get("urgent").floorPercent());
      assertEquals(1000, file.ranks().get("bulk").queueLimit());
      assertEquals(Access.READ, file.kinds().get("balance").access());
      assertEquals(2000, file.kinds().get("balance").stalenessMillis());
      assertEquals("urgent", file.kinds().get("redeem").rank().name());
      assertEquals(List.of("l1-a", "l1-b", "l1-c"), file.groups().get("ledger-1").databases());
      assertEquals(50, file.groups().get("ledger-1").connectionsPerDatabase());
    }

    @Test
    void everyKeyIsInTheReference() {
      String reference = FleetKey.markdownReference();
      for (FleetKey key : FleetKey.values()) {
        assertTrue(reference.contains(key.keyName() + "`"), key.keyName());
      }
    }
  }

  /** Limits of size and depth. */
  @Nested
  class Size {
    @Test
    void refusesMoreThanThePlatformStores() {
      String text = base() + "#" + "x".repeat(FleetFileParser.MAX_BYTES);
      assertEquals(508, parser.parse("f.toml", text).getLeft().get(0).kind().number());
    }

    @Test
    void acceptsTheLimit() {
      int rest = FleetFileParser.MAX_BYTES - base().length() - 1;
      assertTrue(parser.parse("f.toml", base() + "#" + "x".repeat(rest)).isRight());
    }

    @Test
    void deepNestingIsAnErrorNotACrash() {
      String text = "a = " + "[".repeat(100_000);
      assertTrue(parser.parse("f.toml", text).isLeft());
      assertTrue(parser.parse("f.toml", "a" + ".a".repeat(200_000) + " = 1").isLeft());
    }
  }

  /** The difference between two files. */
  @Nested
  class Difference {
    @Test
    void namesChangedAddedAndRemovedKeys() {
      FleetFile before = parser.parse("f.toml", base()).get();
      String changed =
          base()
              .replace("floor_percent = 20", "floor_percent = 25")
              .replace("[kinds.balance]", "[kinds.standing]");
      FleetDiff diff = FleetDiff.between(before, parser.parse("f.toml", changed).get());
      List<String> lines = diff.changes().stream().map(FleetDiff.Change::line).toList();
      assertTrue(lines.contains("~ ranks.urgent.floor_percent: 20 -> 25"), lines.toString());
      assertTrue(lines.contains("+ kinds.standing.access = read"), lines.toString());
      assertTrue(lines.contains("- kinds.balance.access = read"), lines.toString());
      assertEquals(11, lines.size());
    }

    @Test
    void ignoresCommentsAndWrittenDefaults() {
      FleetFile before = parser.parse("f.toml", base()).get();
      String same = "# comment\nkey_retention_hours = 24\n" + base();
      assertTrue(FleetDiff.between(before, parser.parse("f.toml", same).get()).isEmpty());
    }
  }

  private static JsonNode loadRefusals() {
    try (InputStream in = FleetFileParserTest.class.getResourceAsStream("refusals.toml")) {
      return new TomlMapper().readTree(in);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
