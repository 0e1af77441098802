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
 * Grants the terms of one group and orders its databases to fence and to lead.
 *
 * <p>A term is granted to one owner. In a term at most one database is ever ordered to lead: the
 * choice is recorded before the order is sent, so a lost answer cannot lead to a second choice.
 */
final class GroupAuthority {
  private final Topology.Group group;
  private final ControlClient client;
  private final Executor threads;
  private long term;
  private String owner = "topology";
  private Optional<Topology.GroupDatabase> chosen = Optional.empty();
  private Optional<Topology.GroupDatabase> primary = Optional.empty();

  GroupAuthority(Topology.Group group, ControlClient client, Executor threads) {
    this.group = group;
    this.client = client;
    this.threads = threads;
    this.term = group.term();
  }

  /** What an order led to. */
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

  /** Orders the first primary to lead; returns false if it must be tried again. */
  boolean startFirstPrimary() {
    synchronized (this) {
      if (term != group.term() || primary.isPresent()) {
        return true;
      }
    }
    Topology.GroupDatabase first = member(group.primary()).orElseThrow();
    return order(first, group.term()) == PromotionResult.DONE;
  }

  /** Asks all databases for their state. */
  List<DatabaseStateReport> states() {
    return onAll(member -> client.read(member.address(), member.controlPort(), "/state"));
  }

  /** Grants a term; returns whether the owner holds it. */
  synchronized boolean grant(long wanted, String byOwner) {
    if (wanted == term && byOwner.equals(owner)) {
      return true;
    }
    if (wanted <= term) {
      return false;
    }
    term = wanted;
    owner = byOwner;
    chosen = Optional.empty();
    return true;
  }

  /** Orders all databases to refuse terms below; returns those that confirmed. */
  List<DatabaseStateReport> fence(long wanted) {
    return onAll(
            member ->
                client.post(
                    member.address(),
                    member.controlPort(),
                    "/fence",
                    Map.of("term", wanted),
                    JsonNode.class))
        .stream()
        .filter(DatabaseStateReport::reachable)
        .toList();
  }

  /** Makes a database the primary if the rules allow it. */
  PromotionResult promote(long wanted, String byOwner, String databaseId) {
    List<DatabaseStateReport> fenced =
        states().stream().filter(s -> s.reachable() && s.fencedTerm() == wanted).toList();
    Optional<Topology.GroupDatabase> target = member(databaseId);
    synchronized (this) {
      boolean holdsTerm = wanted == term && byOwner.equals(owner);
      boolean chosenBefore = chosen.isPresent() && chosen.equals(target);
      boolean allowed = chosenBefore || (chosen.isEmpty() && mayLead(databaseId, fenced));
      if (target.isEmpty() || !holdsTerm || !allowed) {
        return PromotionResult.REFUSED;
      }
      chosen = target;
    }
    return order(target.get(), wanted);
  }

  /**
   * A position that a majority held before the fence is held by at least {@code required} of the
   * fenced databases, so a database as far as that place in their order loses nothing acknowledged.
   */
  private boolean mayLead(String databaseId, List<DatabaseStateReport> fenced) {
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
    Position bound = positions.get(required - 1);
    return fenced.stream()
        .filter(state -> state.member().id().equals(databaseId))
        .anyMatch(state -> state.position().compareTo(bound) >= 0);
  }

  private PromotionResult order(Topology.GroupDatabase member, long wanted) {
    List<ReplicationPeer> peers =
        group.databases().stream().filter(m -> !m.equals(member)).map(m -> m.peer()).toList();
    try {
      client.post(
          member.address(),
          member.controlPort(),
          "/promote",
          new PromoteRequest(wanted, peers),
          JsonNode.class);
      synchronized (this) {
        if (wanted == term) {
          primary = Optional.of(member);
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

  private Optional<Topology.GroupDatabase> member(String id) {
    return group.databases().stream().filter(m -> m.id().equals(id)).findFirst();
  }

  private List<DatabaseStateReport> onAll(DatabaseCall call) {
    List<CompletableFuture<DatabaseStateReport>> answers =
        group.databases().stream()
            .map(m -> CompletableFuture.supplyAsync(() -> stateAfter(m, call), threads))
            .toList();
    return answers.stream().map(CompletableFuture::join).toList();
  }

  private static DatabaseStateReport stateAfter(Topology.GroupDatabase member, DatabaseCall call) {
    try {
      return DatabaseStateReport.of(member, call.on(member));
    } catch (IOException e) {
      return DatabaseStateReport.unreachable(member);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return DatabaseStateReport.unreachable(member);
    }
  }

  /** A call of a database's control API that answers with its state. */
  @FunctionalInterface
  private interface DatabaseCall {
    JsonNode on(Topology.GroupDatabase member) throws IOException, InterruptedException;
  }
}
