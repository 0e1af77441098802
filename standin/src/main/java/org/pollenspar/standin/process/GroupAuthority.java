package org.pollenspar.standin.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.pollenspar.core.connection.Position;

/**
 * Grants the terms of one group to owners, fences its databases and promotes one of them.
 *
 * <p>Invariants: a term is granted to one owner only, and terms only grow. In each term at most one
 * database is ever asked to become the primary. The choice is recorded before the request is sent,
 * because a lost reply leaves open whether the database was promoted; a retry may only repeat the
 * same choice. In the first term, which has the owner "topology", the platform promotes the primary
 * that the topology names.
 *
 * <p>Thread safe; no lock is held while databases are called.
 */
final class GroupAuthority {
  private final Topology.Group group;
  private final ControlClient client;
  private final Executor executor;
  private long term;
  private String owner = "topology";

  /** The database chosen for the current term, whether or not it has confirmed its promotion. */
  private Optional<Topology.GroupDatabase> chosen = Optional.empty();

  /** The database that confirmed its promotion last. */
  private Optional<Topology.GroupDatabase> primary = Optional.empty();

  GroupAuthority(Topology.Group group, ControlClient client, Executor executor) {
    this.group = group;
    this.client = client;
    this.executor = executor;
    this.term = group.term();
  }

  /** Outcome of a promotion: done, not allowed, or without a reply of the database. */
  enum PromotionResult {
    DONE,
    REFUSED,
    UNREACHABLE
  }

  synchronized long term() {
    return term;
  }

  synchronized Optional<String> primary() {
    return primary.map(Topology.GroupDatabase::id);
  }

  List<Topology.GroupDatabase> databases() {
    return group.databases();
  }

  /** Promotes the first primary of the topology; returns false if the caller has to retry. */
  boolean promoteFirstPrimary() {
    synchronized (this) {
      if (term != group.term() || primary.isPresent()) {
        return true;
      }
    }
    Topology.GroupDatabase first = database(group.primary()).orElseThrow();
    return sendPromotion(first, group.term()) == PromotionResult.DONE;
  }

  /** Reads the states of all databases; those that do not reply are marked as unreachable. */
  List<DatabaseStateReport> states() {
    return callAll(database -> client.read(database.address(), database.controlPort(), "/state"));
  }

  /** Grants a term if it is newer than the last one; returns whether the requester holds it. */
  synchronized boolean grantTerm(long requestedTerm, String requester) {
    if (requestedTerm == term && requester.equals(owner)) {
      return true;
    }
    if (requestedTerm <= term) {
      return false;
    }
    term = requestedTerm;
    owner = requester;
    chosen = Optional.empty();
    return true;
  }

  /** Makes all databases refuse terms below the given one; returns those that confirmed. */
  List<DatabaseStateReport> fence(long requestedTerm) {
    return callAll(
            database ->
                client.post(
                    database.address(),
                    database.controlPort(),
                    "/fence",
                    Map.of("term", requestedTerm),
                    JsonNode.class))
        .stream()
        .filter(DatabaseStateReport::reachable)
        .toList();
  }

  /**
   * Makes a database the primary of a term. The requester must hold the term, and the database must
   * be the one chosen for it before or, if none is, one that is safe to promote.
   */
  PromotionResult promote(long requestedTerm, String requester, String databaseId) {
    List<DatabaseStateReport> fenced =
        states().stream().filter(s -> s.reachable() && s.fencedTerm() == requestedTerm).toList();
    Optional<Topology.GroupDatabase> target = database(databaseId);
    synchronized (this) {
      boolean holdsTerm = requestedTerm == term && requester.equals(owner);
      boolean alreadyChosen = chosen.isPresent() && chosen.equals(target);
      boolean allowed = alreadyChosen || (chosen.isEmpty() && isSafeToPromote(databaseId, fenced));
      if (target.isEmpty() || !holdsTerm || !allowed) {
        return PromotionResult.REFUSED;
      }
      chosen = target;
    }
    return sendPromotion(target.get(), requestedTerm);
  }

  /**
   * Returns whether a database holds every acknowledged entry. An acknowledged position was held by
   * a majority before the fence, thus by at least {@code required} of the fenced databases: the
   * majority less those that are not fenced. So it is not above the {@code required}-th highest
   * position of the fenced databases, and a fenced database that has reached that position loses
   * nothing. With {@code required} below 1 the fenced databases prove nothing.
   */
  private boolean isSafeToPromote(String databaseId, List<DatabaseStateReport> fenced) {
    int size = group.databases().size();
    int required = size / 2 + 1 - (size - fenced.size());
    if (required < 1) {
      return false;
    }
    List<Position> positions =
        fenced.stream()
            .map(DatabaseStateReport::position)
            .sorted(Comparator.reverseOrder())
            .toList();
    Position acknowledgedBound = positions.get(required - 1);
    return fenced.stream()
        .filter(state -> state.database().id().equals(databaseId))
        .anyMatch(state -> state.position().compareTo(acknowledgedBound) >= 0);
  }

  private PromotionResult sendPromotion(Topology.GroupDatabase database, long requestedTerm) {
    List<ReplicationPeer> peers =
        group.databases().stream().filter(d -> !d.equals(database)).map(d -> d.peer()).toList();
    try {
      client.post(
          database.address(),
          database.controlPort(),
          "/promote",
          new PromoteRequest(requestedTerm, peers),
          JsonNode.class);
      synchronized (this) {
        if (requestedTerm == term) {
          primary = Optional.of(database);
        }
      }
      return PromotionResult.DONE;
    } catch (IOException e) {
      return PromotionResult.UNREACHABLE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return PromotionResult.UNREACHABLE;
    }
  }

  private Optional<Topology.GroupDatabase> database(String id) {
    return group.databases().stream().filter(m -> m.id().equals(id)).findFirst();
  }

  private List<DatabaseStateReport> callAll(DatabaseCall call) {
    List<CompletableFuture<DatabaseStateReport>> answers =
        group.databases().stream()
            .map(m -> CompletableFuture.supplyAsync(() -> callForState(m, call), executor))
            .toList();
    return answers.stream().map(CompletableFuture::join).toList();
  }

  private static DatabaseStateReport callForState(
      Topology.GroupDatabase database, DatabaseCall call) {
    try {
      return DatabaseStateReport.of(database, call.send(database));
    } catch (IOException e) {
      return DatabaseStateReport.unreachable(database);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return DatabaseStateReport.unreachable(database);
    }
  }

  /** A call of the control API of a database that replies with its state. */
  @FunctionalInterface
  private interface DatabaseCall {
    JsonNode send(Topology.GroupDatabase database) throws IOException, InterruptedException;
  }
}
