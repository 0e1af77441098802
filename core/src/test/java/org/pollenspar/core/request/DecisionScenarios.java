package org.pollenspar.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Runs every file in {@code scenarios/decisions}; {@link DecisionScript} defines the steps. */
class DecisionScenarios {
  private static final TomlMapper MAPPER = new TomlMapper();

  @TestFactory
  Stream<DynamicTest> scenarios() throws IOException, URISyntaxException {
    Path directory =
        Path.of(Objects.requireNonNull(getClass().getResource("/scenarios/decisions")).toURI());
    try (Stream<Path> files = Files.list(directory)) {
      List<Path> sorted = files.sorted().toList();
      assertTrue(sorted.size() >= 12, "scenario files are missing from the class path");
      return sorted.stream().map(DecisionScenarios::test);
    }
  }

  private static DynamicTest test(Path file) {
    try {
      JsonNode scenario = MAPPER.readTree(file.toFile());
      String name = file.getFileName() + ": guards against " + scenario.path("guards").asText();
      return DynamicTest.dynamicTest(name, file.toUri(), () -> run(scenario));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void run(JsonNode scenario) {
    DecisionScript script = new DecisionScript();
    JsonNode steps = scenario.path("steps");
    assertTrue(!steps.isEmpty(), "no steps");
    for (JsonNode step : steps) {
      String[] parts = step.asText().split(" -> ", 2);
      String result = script.run(parts[0]);
      if (parts.length == 2) {
        assertEquals(parts[1], result, () -> "step \"" + step.asText() + "\"");
      }
    }
  }
}
