package org.pollenspar.core.process;

import java.util.random.RandomGenerator;

/** Random faults of the hosts, the store and the databases of a {@link FleetModel}. */
final class FleetFaults {
  /** How hosts that are replaced by others, and hosts that the store serves alone, come in. */
  enum LateMembers {
    NONE,
    /** Drawn like the other faults. */
    AMONG_FAULTS,
    /** In a sequence of their own beside the other faults. */
    BESIDE_FAULTS;

    /** Returns the variant that a history of a number plays. */
    static LateMembers of(int history) {
      return values()[history % values().length];
    }
  }

  private static final int KINDS = 9;
  private static final int LATE_MEMBER_KINDS = 2;

  private final FleetModel model;
  private final RandomGenerator random;
  private final LateMembers lateMembers;

  FleetFaults(FleetModel model, RandomGenerator random, LateMembers lateMembers) {
    this.model = model;
    this.random = random;
    this.lateMembers = lateMembers;
  }

  /** Begins the faults, which go on for the whole history. */
  void schedule() {
    scheduleFault();
    if (lateMembers == LateMembers.BESIDE_FAULTS) {
      scheduleMemberFault();
    }
  }

  /** Faults that need hosts which joined later than others, beside the faults of all kinds. */
  private void scheduleMemberFault() {
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
          scheduleMemberFault();
        });
  }

  private void scheduleFault() {
    model.time.after(500 + random.nextInt(4_000), this::fault);
  }

  private void fault() {
    FleetModel.ModelHost host = model.hosts.get(random.nextInt(model.hosts.size()));
    FleetModelDatabase database = model.databases.get("db" + random.nextInt(3));
    int length = 500 + random.nextInt(9_000);
    boolean among = lateMembers == LateMembers.AMONG_FAULTS;
    int kind = random.nextInt(KINDS + (among ? LATE_MEMBER_KINDS : 0));
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
        if (among) {
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

  /** A host is gone for good, and an empty one comes in its place under another name. */
  private void replace(FleetModel.ModelHost host, int length) {
    host.freeze(FleetModel.HISTORY_MS, false);
    model.hosts.remove(host);
    model.time.after(length, model::startHost);
  }

  /** The store serves one host alone, which is cut off from some of the others as well. */
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

  /** A host and the primary reach each other, but neither the store nor anybody else. */
  private void isolateWithPrimary(FleetModel.ModelHost host, int length) {
    host.cutFromPeers(length);
    model.store.refuse(host.name, length);
    cut(host, model.databases.get(model.newestPrimary), length);
  }

  /** Cuts a database from all hosts but one: the one that goes on using it is the danger. */
  private void cut(FleetModel.ModelHost except, FleetModelDatabase database, int length) {
    for (FleetModel.ModelHost host : model.hosts) {
      if (host != except) {
        host.unreachable.put(database.id, model.now() + length);
      }
    }
  }
}
