package org.pollenspar.core.process;

import java.util.List;
import java.util.random.RandomGenerator;

/** Random faults of the hosts, the store and the databases of a {@link FleetModel}. */
final class FleetFaults {
  /**
   * Whether and how the history contains faults that need members which joined later than others: a
   * host is replaced by a new one, or the store serves a single host.
   */
  enum MembershipFaults {
    NONE,
    /** Drawn from one sequence with the other faults. */
    AMONG_FAULTS,
    /** Drawn from a sequence of their own, in addition to the other faults. */
    BESIDE_FAULTS;

    /** Returns the variant for the history with this number; the variants alternate. */
    static MembershipFaults of(int history) {
      return values()[history % values().length];
    }
  }

  private static final int FAULT_KINDS = 9;
  private static final int MEMBERSHIP_FAULT_KINDS = 2;

  private final FleetModel model;
  private final RandomGenerator random;
  private final MembershipFaults membershipFaults;

  FleetFaults(FleetModel model, RandomGenerator random, MembershipFaults membershipFaults) {
    this.model = model;
    this.random = random;
    this.membershipFaults = membershipFaults;
  }

  /** Schedules the first faults; each one schedules the next. */
  void schedule() {
    scheduleFault();
    if (membershipFaults == MembershipFaults.BESIDE_FAULTS) {
      scheduleMembershipFault();
    }
    if (model.synchronous) {
      scheduleReplicationFault();
    }
    if (model.holdersFail) {
      model.promotionCalls.onCallWithoutAnswer = this::failCaller;
      scheduleHolderFailure();
    }
  }

  /** Schedules the failure of the host that then holds the failover lease. */
  private void scheduleHolderFailure() {
    model.time.after(
        3_000 + random.nextInt(12_000),
        () -> {
          List<FleetModel.ModelHost> holders =
              model.hosts.stream().filter(host -> host.coordinator.holdsLease()).toList();
          holders.forEach(this::failHolder);
          scheduleHolderFailure();
        });
  }

  /** Lets the sender of a call be cut off from the store and the called database leave. */
  private void failCaller(FleetModel.ModelHost caller, String database) {
    model.time.after(random.nextInt(1_500), () -> model.store.refuse(caller.name, 5_000));
    if (random.nextInt(4) > 0) {
      long end = model.now() + 8_000 + random.nextInt(15_000);
      model.trace.add(model.now() + " leaves " + database + " until " + end);
      model.hosts.forEach(host -> host.unreachable.put(database, end));
    }
  }

  private void failHolder(FleetModel.ModelHost holder) {
    int length = 3_000 + random.nextInt(5_000);
    int kind = random.nextInt(4);
    model.trace.add(model.now() + " holder failure " + kind + " " + holder.name + " " + length);
    switch (kind) {
      case 0 -> holder.freeze(length, random.nextBoolean());
      case 1 -> replace(holder, length);
      default -> model.store.refuse(holder.name, length);
    }
  }

  /** Schedules a replica that receives nothing, and often a crash of the other two databases. */
  private void scheduleReplicationFault() {
    model.time.after(
        2_000 + random.nextInt(10_000),
        () -> {
          FleetModelDatabase deaf = model.databases.get("db" + random.nextInt(3));
          int length = 500 + random.nextInt(9_000);
          model.trace.add(model.now() + " deaf " + deaf.id + " for " + length);
          deaf.deafUntil = model.now() + length;
          if (random.nextBoolean()) {
            model.time.after(random.nextInt(2_000), () -> crashOthers(deaf));
          }
          scheduleReplicationFault();
        });
  }

  private void crashOthers(FleetModelDatabase running) {
    for (FleetModelDatabase each : model.databases.values()) {
      if (each != running && random.nextInt(4) > 0) {
        int length = 500 + random.nextInt(9_000);
        model.trace.add(model.now() + " crash " + each.id + " for " + length);
        each.crash(length);
      }
    }
  }

  /** Schedules the next fault of {@link MembershipFaults#BESIDE_FAULTS}. */
  private void scheduleMembershipFault() {
    model.time.after(
        4_000 + random.nextInt(16_000),
        () -> {
          FleetModel.ModelHost host = model.hosts.get(random.nextInt(model.hosts.size()));
          int length = 500 + random.nextInt(9_000);
          boolean replaced = random.nextBoolean();
          model.trace.add(model.now() + (replaced ? " replaced " : " served alone ") + host.name);
          if (replaced) {
            replace(host, length);
          } else {
            serveOnly(host, length);
          }
          scheduleMembershipFault();
        });
  }

  private void scheduleFault() {
    model.time.after(500 + random.nextInt(4_000), this::fault);
  }

  private void fault() {
    FleetModel.ModelHost host = model.hosts.get(random.nextInt(model.hosts.size()));
    FleetModelDatabase database = model.databases.get("db" + random.nextInt(3));
    int length = 500 + random.nextInt(9_000);
    boolean amongFaults = membershipFaults == MembershipFaults.AMONG_FAULTS;
    int kind = random.nextInt(FAULT_KINDS + (amongFaults ? MEMBERSHIP_FAULT_KINDS : 0));
    model.trace.add(model.now() + " fault " + kind + " at " + host.name + " for " + length);
    switch (kind) {
      case 0 -> host.freeze(length, true);
      case 1 -> host.freeze(length, false);
      case 2 -> model.store.outage(length);
      case 3 -> model.store.refuse(host.name, length);
      case 4 -> host.cutFromPeers(length);
      case 5 -> model.databases.get(model.newestPrimary).crash(length);
      case 6 -> {
        database.draining = true;
        model.time.after(length, () -> database.draining = false);
      }
      case 7 -> cut(host, model.databases.get(model.newestPrimary), length);
      case 8 -> {
        if (amongFaults) {
          replace(host, length);
        } else {
          isolateWithPrimary(host, 2 * length);
        }
      }
      case 9 -> serveOnly(host, length);
      default -> isolateWithPrimary(host, 2 * length);
    }
    if (random.nextInt(6) == 0) {
      model.store.loseAnswers(length);
    }
    scheduleFault();
  }

  /**
   * Stops a host for the rest of the history and starts a new one without state under another name.
   * The last running host stays.
   */
  private void replace(FleetModel.ModelHost host, int length) {
    if (model.hosts.size() == 1) {
      return;
    }
    host.freeze(FleetModel.HISTORY_MS, false);
    model.hosts.remove(host);
    model.time.after(length, model::startHost);
  }

  /**
   * Lets the store serve a single host, which in half of the cases is cut off from the other hosts
   * as well.
   */
  private void serveOnly(FleetModel.ModelHost served, int length) {
    for (FleetModel.ModelHost host : model.hosts) {
      if (host != served) {
        model.store.refuse(host.name, 2 * length);
      }
    }
    if (random.nextBoolean()) {
      served.cutFromPeers(2 * length);
    }
  }

  /** Cuts off a host together with the primary from the store and from all other hosts. */
  private void isolateWithPrimary(FleetModel.ModelHost host, int length) {
    host.cutFromPeers(length);
    model.store.refuse(host.name, length);
    cut(host, model.databases.get(model.newestPrimary), length);
  }

  /**
   * Cuts a database off from all hosts but one, which may go on using it while the others replace
   * it.
   */
  private void cut(FleetModel.ModelHost except, FleetModelDatabase database, int length) {
    for (FleetModel.ModelHost host : model.hosts) {
      if (host != except) {
        host.unreachable.put(database.id, model.now() + length);
      }
    }
  }
}
