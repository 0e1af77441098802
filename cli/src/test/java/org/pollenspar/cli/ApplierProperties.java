package org.pollenspar.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.version.ConfigurationVersion;

/**
 * Guards against a wrong outcome that is reported to the operator, and against a version that is
 * overwritten unseen. Both can come about when an answer of the platform is lost or late, or when
 * two operators apply files at the same time.
 */
class ApplierProperties {
  private static Either<PollensparError, Applier.ApplyResult> apply(
      FaultyKeyValueService store, String author, String id) {
    return new Applier(new ConfigurationStore(store), () -> {}, 6)
        .apply("text of " + id, author, id, OptionalLong.empty());
  }

  @Example
  void conflictNamesTheVersionThatWasAppliedFirst() {
    FaultyKeyValueService store = new FaultyKeyValueService(1);
    int[] calls = {0};
    store.beforeEachCall =
        () -> {
          // The second call is Ana's swap: Ben applies his file between her read and her swap.
          if (++calls[0] == 2) {
            assertEquals(1, apply(store, "ben", "id-ben").get().version());
          }
        };
    PollensparError error = apply(store, "ana", "id-ana").getLeft();
    assertEquals(ErrorKind.VERSION_CONFLICT, error.kind());
    assertTrue(error.message().contains("Version 1 by ben"), error.message());
    assertEquals(1, store.history.size());
  }

  @Example
  void lostAnswerAfterTheSwapIsResolvedByReadingBack() {
    FaultyKeyValueService store = new FaultyKeyValueService(2);
    int[] calls = {0};
    store.beforeEachCall = () -> store.lostAnswerProbability = ++calls[0] == 2 ? 1 : 0;
    assertEquals(new Applier.ApplyResult(1, true), apply(store, "ana", "id-ana").get());
    assertEquals(1, store.history.size());
  }

  @Example
  void lostAnswerIsResolvedAfterAnotherApply() {
    FaultyKeyValueService store = new FaultyKeyValueService(3);
    int[] calls = {0};
    store.beforeEachCall =
        () -> {
          int call = ++calls[0];
          store.lostAnswerProbability = call == 2 ? 1 : 0;
          if (call == 3) {
            assertEquals(2, apply(store, "ben", "id-ben").get().version());
          }
        };
    assertEquals(new Applier.ApplyResult(1, true), apply(store, "ana", "id-ana").get());
  }

  @Example
  void sameTextCreatesNoNewVersion() {
    FaultyKeyValueService store = new FaultyKeyValueService(4);
    assertTrue(apply(store, "ana", "id").get().changed());
    assertEquals(new Applier.ApplyResult(1, false), apply(store, "ben", "id").get());
  }

  @Example
  void reviewedVersionMustBeInForce() {
    FaultyKeyValueService store = new FaultyKeyValueService(5);
    assertTrue(apply(store, "ana", "id-1").isRight());
    PollensparError error =
        new Applier(new ConfigurationStore(store), () -> {}, 3)
            .apply("other", "ben", "id-2", OptionalLong.of(0))
            .getLeft();
    assertEquals(ErrorKind.VERSION_CONFLICT, error.kind());
  }

  @Property(seed = "61", tries = 2_000)
  void reportedOutcomeIsCorrectUnderFaults(@ForAll long seed) {
    Random random = new Random(seed);
    FaultyKeyValueService store = new FaultyKeyValueService(seed);
    store.lostRequestProbability = random.nextDouble() * 0.5;
    store.lostAnswerProbability = random.nextDouble() * 0.5;
    store.delayedWriteProbability = random.nextDouble() * 0.3;
    int[] applies = {0};
    store.beforeEachCall =
        () -> {
          if (applies[0] < 40 && random.nextInt(4) == 0) {
            checkedApply(store, "id-" + ++applies[0]);
          }
        };
    for (int i = 0; i < 5; i++) {
      checkedApply(store, "id-" + ++applies[0]);
    }
    for (int i = 0; i < store.history.size(); i++) {
      assertEquals(
          i + 1, store.history.get(i).version(), "each version is one above the version before");
    }
  }

  private static void checkedApply(FaultyKeyValueService store, String id) {
    Either<PollensparError, Applier.ApplyResult> result = apply(store, "a", id);
    for (int i = 0; i < 40; i++) {
      store.applyDelayedWrite();
    }
    long created = store.history.stream().filter(v -> v.applyId().equals(id)).count();
    if (result.isRight()) {
      assertEquals(1, created, id + " was accepted");
      ConfigurationVersion version = store.history.get((int) result.get().version() - 1);
      assertEquals(id, version.applyId());
    } else if (result.getLeft().kind() == ErrorKind.APPLY_UNCONFIRMED) {
      assertTrue(created <= 1, id + " is unknown");
    } else {
      assertEquals(0, created, id + " was refused: " + result.getLeft());
    }
  }
}
