package org.pollenspar.core.process;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** The platform's call that promotes a database of a {@link FleetModel}. */
final class FleetModelPromotions {
  private static final int TIMEOUT_MS = 1_200;
  private static final int MAX_LATE_MS = 9_000;

  /** How a call reaches the platform; it may be executed long after its caller gave up. */
  record Delivery(int delayMillis, boolean answered) {}

  private final FleetModel model;
  private final RandomGenerator random;

  /** How the next calls are delivered; null if most are at once. */
  @Nullable Supplier<Delivery> deliveries;

  /** Runs when a call of {@link #deliveries} is sent that gets no answer. */
  BiConsumer<FleetModel.ModelHost, String> onCallWithoutAnswer = (caller, database) -> {};

  FleetModelPromotions(FleetModel model, RandomGenerator random) {
    this.model = model;
    this.random = random;
  }

  /** Draws deliveries of which a third is without an answer, and half of those late. */
  static Supplier<Delivery> lostAndLate(RandomGenerator random) {
    return () -> {
      boolean answered = random.nextInt(3) > 0;
      boolean late = !answered && random.nextBoolean();
      return new Delivery(1 + random.nextInt(late ? MAX_LATE_MS : 5), answered);
    };
  }

  void promote(
      FleetModel.ModelHost caller, String database, Consumer<PromotionService.Outcome> done) {
    if (deliveries == null) {
      promoteSoon(caller, database, done);
      return;
    }
    Delivery delivery = deliveries.get();
    model.trace.add(model.now() + " call for " + database + ": " + delivery);
    model.time.after(
        delivery.delayMillis(),
        () -> {
          PromotionService.Outcome outcome = execute(database);
          if (delivery.answered()) {
            caller.deliver(() -> done.accept(outcome));
          }
        });
    if (!delivery.answered()) {
      onCallWithoutAnswer.accept(caller, database);
      model.time.after(
          TIMEOUT_MS, () -> caller.deliver(() -> done.accept(PromotionService.Outcome.UNKNOWN)));
    }
  }

  private void promoteSoon(
      FleetModel.ModelHost caller, String database, Consumer<PromotionService.Outcome> done) {
    int delayMillis = random.nextInt(10) == 0 ? random.nextInt(2_000) : caller.delay();
    model.time.after(
        delayMillis,
        () -> {
          PromotionService.Outcome outcome = execute(database);
          boolean lost = random.nextInt(10) == 0;
          caller.deliver(() -> done.accept(lost ? PromotionService.Outcome.UNKNOWN : outcome));
        });
  }

  private PromotionService.Outcome execute(String database) {
    FleetModelDatabase target = model.databases.get(database);
    if (!target.up()) {
      return PromotionService.Outcome.NOT_RUNNING;
    }
    target.promote();
    return PromotionService.Outcome.ACCEPTED;
  }
}
