package org.pollenspar.core.process;

import org.pollenspar.core.connection.Position;

/** A simulated database of the group in a {@link FleetModel}. */
final class FleetModelDatabase {
  private final FleetModel model;
  final String id;
  boolean primary;
  boolean draining;
  long term = 1;
  long log;
  long downUntil;

  FleetModelDatabase(FleetModel model, String id, boolean primary) {
    this.model = model;
    this.id = id;
    this.primary = primary;
  }

  boolean up() {
    return model.now() >= downUntil;
  }

  void crash(int length) {
    downUntil = model.now() + length;
    model.time.after(
        length,
        () -> {
          if (!id.equals(model.newestPrimary)) {
            primary = false;
          }
        });
  }

  /** Makes older primaries replicas; called a second after a promotion. */
  private void demoteOthers() {
    model.databases.values().stream()
        .filter(each -> each.up() && !each.id.equals(model.newestPrimary))
        .forEach(each -> each.primary = false);
  }

  DatabaseControl.DatabaseStatus status() {
    return new DatabaseControl.DatabaseStatus(primary, term, new Position(term, log));
  }

  /** Makes this database the primary of the next term, 300 ms after the call. */
  void promote() {
    model.time.after(
        300,
        () -> {
          if (primary && id.equals(model.newestPrimary)) {
            return;
          }
          long next =
              model.databases.values().stream().mapToLong(each -> each.term).max().orElse(0);
          term = next + 1;
          primary = true;
          // Replication is asynchronous but without lag: only the role of the primary is modelled.
          log = model.databases.values().stream().mapToLong(each -> each.log).max().orElse(0);
          model.newestPrimary = id;
          model.promotions++;
          model.time.after(1_000, this::demoteOthers);
        });
  }
}
