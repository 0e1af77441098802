package org.pollenspar.core.process;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Counts the calls of a {@link PromotionService} that are under way. A call whose result nobody
 * waits for any more is still one, since it may reach the platform.
 */
final class CountedPromotions implements PromotionService {
  private final PromotionService service;
  private int underWay;

  CountedPromotions(PromotionService service) {
    this.service = service;
  }

  int underWay() {
    return underWay;
  }

  @Override
  public void promote(
      String group,
      String database,
      String holder,
      long fence,
      BooleanSupplier allowed,
      Consumer<Outcome> done) {
    underWay++;
    service.promote(
        group,
        database,
        holder,
        fence,
        allowed,
        outcome -> {
          underWay--;
          done.accept(outcome);
        });
  }
}
