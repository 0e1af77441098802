package org.pollenspar.core.process;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Access of one host of a {@link FleetModel} to the databases. */
final class ModelDatabaseControl implements DatabaseControl {
  private static final long REGISTRATION_POLL_MS = 100;

  private final FleetModel model;
  private final FleetModel.ModelHost host;

  /** Databases that were registered at the last poll, and lapsed ones. */
  private final Map<String, Candidate> seen = new TreeMap<>();

  ModelDatabaseControl(FleetModel model, FleetModel.ModelHost host) {
    this.model = model;
    this.host = host;
    if (model.synchronous) {
      watchRegistrations();
    }
  }

  private void watchRegistrations() {
    candidates(FleetModel.GROUP).forEach(each -> seen.put(each.id(), each));
    host.after(REGISTRATION_POLL_MS, this::watchRegistrations);
  }

  void forget(Set<String> ids) {
    seen.keySet().removeAll(ids);
  }

  @Override
  public Collection<String> groups() {
    return List.of(FleetModel.GROUP);
  }

  @Override
  public Collection<Candidate> candidates(String group) {
    return model.databases.values().stream()
        .filter(FleetModelDatabase::registered)
        .map(each -> new Candidate(each.id, each.id, each.draining, each.primary, 1_000, 0))
        .toList();
  }

  @Override
  public Collection<Candidate> lapsed(String group) {
    return seen.values().stream()
        .filter(each -> !model.databases.get(each.id()).registered())
        .toList();
  }

  @Override
  public int syncReplicas(String group) {
    return model.synchronous ? 1 : 0;
  }

  @Override
  public void status(
      String group, String database, Consumer<DatabaseControl.@Nullable DatabaseStatus> done) {
    call(database, done, each -> {});
  }

  @Override
  public void stepDown(
      String group,
      String database,
      long term,
      Consumer<DatabaseControl.@Nullable DatabaseStatus> done) {
    call(
        database,
        done,
        each -> {
          if (each.term < term) {
            each.primary = false;
          }
        });
  }

  private void call(
      String database,
      Consumer<DatabaseControl.@Nullable DatabaseStatus> done,
      Consumer<FleetModelDatabase> action) {
    FleetModelDatabase target = model.databases.get(database);
    if (!host.reachable(database)) {
      host.after(300, () -> done.accept(null));
      return;
    }
    model.time.after(
        host.delay(),
        () -> {
          action.accept(target);
          DatabaseStatus status = target.status();
          model.time.after(host.delay(), () -> host.deliver(() -> done.accept(status)));
        });
  }
}
