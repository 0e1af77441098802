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
  private Optional<Topology.Member> chosen = Optional.empty();
  private Optional<Topology.Member> primary = Optional.empty();

  GroupAuthority(Topology.Group group, ControlClient client, Executor threads) {
    this.group = group;
    this.client = client;
    this.threads = threads;
    this.term = group.term();
  }

  /** What an order led to. */
  enum Verdict {
    DONE,
    REFUSED,
    UNREACHABLE
  }

  synchronized long term() {
    return term;
  }

  synchronized Optional<String> primary() {
    return primary.map(Topology.Member::id);
  }

  List<Topology.Member> members() {
    return group.members();
  }

  /** Orders the first primary to lead; returns false if it must be tried again. */
  boolean startFirstPrimary() {
    synchronized (this) {
      if (term != group.term() || primary.isPresent()) {
        return true;
      }
    }
    Topology.Member first = member(group.primary()).orElseThrow();
    return order(first, group.term()) == Verdict.DONE;
  }

  /** Asks all databases for their state. */
  List<MemberState> states() {
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
  List<MemberState> fence(long wanted) {
    return onAll(
            member ->
                client.post(
                    member.address(),
                    member.controlPort(),
                    "/fence",
                    Map.of("term", wanted),
                    JsonNode.class))
        .stream()
        .filter(MemberState::reachable)
        .toList();
  }

  /** Makes a database the primary if the rules allow it. */
  Verdict promote(long wanted, String byOwner, String databaseId) {
    List<MemberState> fenced =
        states().stream().filter(s -> s.reachable() && s.fencedTerm() == wanted).toList();
    Optional<Topology.Member> target = member(databaseId);
    synchronized (this) {
      boolean holdsTerm = wanted == term && byOwner.equals(owner);
      boolean chosenBefore = chosen.isPresent() && chosen.equals(target);
      boolean allowed = chosenBefore || (chosen.isEmpty() && mayLead(databaseId, fenced));
      if (target.isEmpty() || !holdsTerm || !allowed) {
        return Verdict.REFUSED;
      }
      chosen = target;
    }
    return order(target.get(), wanted);
  }

  /**
   * A position that a majority held before the fence is held by at least {@code required} of the
   * fenced databases, so a database as far as that place in their order loses nothing acknowledged.
   */
  private boolean mayLead(String databaseId, List<MemberState> fenced) {
    int size = group.members().size();
    int required = size / 2 + 1 - (size - fenced.size());
    if (required < 1) {
      return false;
    }
    List<Position> positions =
        fenced.stream().map(MemberState::position).sorted(Comparator.reverseOrder()).toList();
    Position bound = positions.get(required - 1);
    return fenced.stream()
        .filter(state -> state.member().id().equals(databaseId))
        .anyMatch(state -> state.position().compareTo(bound) >= 0);
  }

  private Verdict order(Topology.Member member, long wanted) {
    List<Peer> peers =
        group.members().stream().filter(m -> !m.equals(member)).map(m -> m.peer()).toList();
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
      return Verdict.DONE;
    } catch (IOException e) {
      return Verdict.UNREACHABLE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Verdict.UNREACHABLE;
    }
  }

  private Optional<Topology.Member> member(String id) {
    return group.members().stream().filter(m -> m.id().equals(id)).findFirst();
  }

  private List<MemberState> onAll(DatabaseCall call) {
    List<CompletableFuture<MemberState>> answers =
        group.members().stream()
            .map(m -> CompletableFuture.supplyAsync(() -> stateAfter(m, call), threads))
            .toList();
    return answers.stream().map(CompletableFuture::join).toList();
  }

  private static MemberState stateAfter(Topology.Member member, DatabaseCall call) {
    try {
      return MemberState.of(member, call.on(member));
    } catch (IOException e) {
      return MemberState.unreachable(member);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return MemberState.unreachable(member);
    }
  }

  /** A call of a database's control API that answers with its state. */
  @FunctionalInterface
  private interface DatabaseCall {
    JsonNode on(Topology.Member member) throws IOException, InterruptedException;
  }
}
