package org.pollenspar.core.process;

import org.pollenspar.core.connection.Position;

/** A simulated database of the group in a {@link FleetModel}. */
final class FleetModelDatabase {
  /** Time after a crash for which the registration remains. */
  private static final int REGISTRATION_MS = 3_600;

  private final FleetModel model;
  final String id;
  boolean primary;
  boolean draining;
  long term = 1;
  long log;
  long downUntil;

  private long crashedAt;

  /** Until when this replica receives nothing. */
  long deafUntil;

  FleetModelDatabase(FleetModel model, String id, boolean primary) {
    this.model = model;
    this.id = id;
    this.primary = primary;
  }

  boolean up() {
    return model.now() >= downUntil;
  }

  /** Returns whether the registration exists; that of a crashed database lapses. */
  boolean registered() {
    return !model.synchronous || up() || model.now() < crashedAt + REGISTRATION_MS;
  }

  void crash(int length) {
    if (up()) {
      crashedAt = model.now();
    }
    downUntil = model.now() + length;
    model.time.after(
        length,
        () -> {
          if (!id.equals(model.newestPrimary)) {
            primary = false;
          }
        });
  }

  /** Sends the log of this primary to all replicas that can receive it. */
  void sendLog() {
    if (!up() || !primary) {
      return;
    }
    for (FleetModelDatabase each : model.databases.values()) {
      if (each != this && each.up() && !each.primary && model.now() >= each.deafUntil) {
        each.term = term;
        each.log = log;
      }
    }
  }

  /** Returns whether a replica has received a commit of this primary. */
  boolean received(long position) {
    return up()
        && model.databases.values().stream()
            .anyMatch(each -> each != this && each.term == term && each.log >= position);
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
          if (!model.synchronous) {
            // Asynchronous replication has no lag here: only the role of the primary is modelled.
            log = model.databases.values().stream().mapToLong(each -> each.log).max().orElse(0);
          } else if (log < model.reportedCommits) {
            model.violations.add(
                id + " is promoted at " + log + " without commit " + model.reportedCommits);
          }
          model.newestPrimary = id;
          model.promotions++;
          model.time.after(1_000, this::demoteOthers);
        });
  }
}
