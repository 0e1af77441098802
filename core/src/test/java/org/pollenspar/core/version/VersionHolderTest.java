package org.pollenspar.core.version;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a version that goes back (invariant P9) when threads offer versions concurrently,
 * and against a stored configuration that was altered.
 */
public class VersionHolderTest {
  private final VersionHolder holder = new VersionHolder();

  private static ConfigurationVersion version(long number) {
    return new ConfigurationVersion(number, "a" + number, "author", "", "", List.of());
  }

  /** Offers a version; the result tells whether it replaced the newest. */
  @Operation
  public boolean offer(int number) {
    return holder.offer(version(number));
  }

  /** Reads the version. */
  @Operation
  public long version() {
    return holder.version();
  }

  @Test
  void isLinearizable() {
    new ModelCheckingOptions()
        .iterations(10)
        .threads(3)
        .actorsPerThread(3)
        .invocationsPerIteration(200)
        .check(VersionHolderTest.class);
  }

  @Test
  void refusesLowerAndEqualVersions() {
    assertTrue(holder.offer(version(3)));
    assertEquals(false, holder.offer(version(3)));
    assertEquals(false, holder.offer(version(2)));
    assertEquals(3, holder.version());
  }

  /** The codec of the stored value. */
  @Nested
  class Json {
    @Test
    void roundTripKeepsEverything() {
      ConfigurationVersion value =
          ConfigurationVersion.successor(Optional.empty(), "id-1", "ana", "text \"ü\"\n");
      assertEquals(value, ConfigurationJson.decode(ConfigurationJson.encode(value)).get());
    }

    @Test
    void refusesTextThatWasChanged() {
      ConfigurationVersion value =
          ConfigurationVersion.successor(Optional.empty(), "id-1", "ana", "text");
      String damaged =
          ConfigurationJson.encode(value).replace("\"text\":\"text\"", "\"text\":\"x\"");
      assertTrue(ConfigurationJson.decode(damaged).getLeft().message().contains("sha256"));
      assertTrue(ConfigurationJson.decode("{").isLeft());
      assertTrue(ConfigurationJson.decode("null").isLeft());
    }

    @Test
    void keepsTheLastSixteenApplies() {
      Optional<ConfigurationVersion> value = Optional.empty();
      for (int i = 1; i <= 20; i++) {
        value = Optional.of(ConfigurationVersion.successor(value, "id-" + i, "ana", "t" + i));
      }
      assertEquals(16, value.get().recent().size());
      assertEquals(Optional.of(5L), value.get().versionOfApply("id-5"));
      assertEquals(Optional.empty(), value.get().versionOfApply("id-4"));
    }
  }
}
