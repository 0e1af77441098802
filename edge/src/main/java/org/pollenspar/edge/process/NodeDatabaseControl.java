package org.pollenspar.edge.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.ConnectionPool;
import org.pollenspar.core.connection.ControlCommandRequest;
import org.pollenspar.core.connection.DatabaseEntry;
import org.pollenspar.core.connection.GroupRouter;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.DatabaseControl;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.version.RouteTable;

/**
 * Control commands of one host to the databases of all groups, over connections of its own.
 *
 * <p>Not thread-safe: all calls must come from the event loop.
 */
public final class NodeDatabaseControl implements DatabaseControl {
  /**
   * A database that answered within this time counts as reachable without a new request. Members
   * are asked from 200 ms after the first probe that was refused, and an answer from before that
   * moment must not contradict it: with 700 ms, the replacement of a crashed primary was rejected
   * once, which cost 1.4 s.
   */
  private static final long RECENT_ANSWER_MS = 250;

  private final Map<String, GroupRouter> routers;
  private final Supplier<RouteTable> routes;
  private final DatabaseDirectory directory;
  private final Clocks clocks;
  private final Timers timers;
  private final Function<String, DatabaseControl.@Nullable DatabaseStatus> statusDecoder;

  NodeDatabaseControl(
      Map<String, GroupRouter> routers,
      Supplier<RouteTable> routes,
      DatabaseDirectory directory,
      Clocks clocks,
      Timers timers,
      Function<String, DatabaseControl.@Nullable DatabaseStatus> statusDecoder) {
    this.routers = routers;
    this.routes = routes;
    this.directory = directory;
    this.clocks = clocks;
    this.timers = timers;
    this.statusDecoder = statusDecoder;
  }

  /** Reports whether a database answers this host; sends it a status command if needed. */
  public void reaches(String group, String database, Consumer<Boolean> done) {
    @Nullable ConnectionPool pool = pool(group, database);
    if (pool == null) {
      done.accept(false);
    } else if (pool.answerAgeMillis() >= 0 && pool.answerAgeMillis() < RECENT_ANSWER_MS) {
      done.accept(true);
    } else {
      ControlCommandRequest.run(
          pool,
          new DatabaseCommand.Status(),
          clocks,
          timers,
          answer -> done.accept(answer != null));
    }
  }

  private @Nullable ConnectionPool pool(String group, String database) {
    @Nullable GroupRouter router = routers.get(group);
    return router == null ? null : router.pool(database);
  }

  @Override
  public Collection<String> groups() {
    return routes.get().groups().keySet();
  }

  @Override
  public Collection<Candidate> candidates(String group) {
    List<Candidate> result = new ArrayList<>();
    @Nullable GroupRouter router = routers.get(group);
    if (router != null) {
      for (ConnectionPool pool : router.pools()) {
        if (directory.isRegistered(pool.entry().id())) {
          result.add(candidate(pool.entry(), pool.answerAgeMillis()));
        }
      }
    }
    return result;
  }

  @Override
  public Collection<Candidate> lapsed(String group) {
    return directory.lapsed(group).stream().map(entry -> candidate(entry, -1)).toList();
  }

  private static Candidate candidate(DatabaseEntry entry, long answerAgeMillis) {
    return new Candidate(
        entry.id(),
        entry.host() + ":" + entry.port(),
        entry.draining(),
        entry.primary(),
        answerAgeMillis,
        entry.born());
  }

  @Override
  public int syncReplicas(String group) {
    RouteTable.@Nullable Group settings = routes.get().groups().get(group);
    return settings == null ? 0 : settings.syncReplicas();
  }

  @Override
  public void status(
      String group, String database, Consumer<DatabaseControl.@Nullable DatabaseStatus> done) {
    runControlCommand(group, database, new DatabaseCommand.Status(), done);
  }

  @Override
  public void stepDown(
      String group,
      String database,
      long term,
      Consumer<DatabaseControl.@Nullable DatabaseStatus> done) {
    runControlCommand(group, database, new DatabaseCommand.StepDown(term), done);
  }

  private void runControlCommand(
      String group,
      String database,
      DatabaseCommand command,
      Consumer<DatabaseControl.@Nullable DatabaseStatus> done) {
    @Nullable ConnectionPool pool = pool(group, database);
    if (pool == null) {
      done.accept(null);
      return;
    }
    ControlCommandRequest.run(
        pool, command, clocks, timers, answer -> done.accept(decodeStatus(answer)));
  }

  private DatabaseControl.@Nullable DatabaseStatus decodeStatus(@Nullable Answer answer) {
    return answer == null || answer.rows().isEmpty()
        ? null
        : statusDecoder.apply(answer.rows().get(0));
  }
}
