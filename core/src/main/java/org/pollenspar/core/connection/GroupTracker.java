package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.pollenspar.core.version.GroupSpec;

/**
 * What a home proxy knows of one group, from probe answers only. Driven by one thread.
 *
 * <p><b>Acknowledgement.</b> A commit at (t, p) is held by a database whose log has term t, whose
 * offset is at least p and whose fence is not above t. Let a majority H have held it, each at its
 * own moment, and let a later term be granted. Its owner fenced a majority F first. A database in
 * both answered unfenced with (t, p), so it held the commit before its fence. The most advanced log
 * of F is at least as far: of term t with an offset of at least p, hence with the commit as part of
 * its prefix, or of a later term that contains the commit by induction over terms. So the commit
 * survives, and stale evidence is as good as fresh evidence. Offsets alone prove nothing: an old
 * primary that was cut off can hold a longer log that is thrown away when it joins the new term.
 *
 * <p>The induction needs one thing of the databases: a database that joins term u takes u as its
 * log term only once it holds the log up to the start of u. Otherwise a database far behind could
 * join u, win the next promotion by its log term alone, and bring a log without acknowledged writes
 * of earlier terms.
 *
 * <p><b>Age.</b> A sample is a position (t, p) of a leading primary and the time s at which its
 * probe was sent. It is confirmed once a majority answered probes sent at s or later with log term
 * t and a fence not above t. Claim: a log that includes (t, p) holds every write acknowledged
 * before s. Let a write be acknowledged before s at (u, q).
 *
 * <ul>
 *   <li>u = t: the primary had committed it before s, and the probe was sent at s, so q is at most
 *       p.
 *   <li>u &lt; t: by the argument above the log of term t holds it, at the same offset q.
 *   <li>u &gt; t is impossible: before anything was acknowledged in u, a majority had been fenced
 *       at u. Fences never go back, so one of any majority answers a probe sent at s or later with
 *       a fence above t, and the sample is not confirmed.
 * </ul>
 *
 * <p>A log that includes (t, p) by {@link Position#includes} has term t, and then reaches at least
 * q, or a later term, and then holds every acknowledged write at its offset. Without confirmation
 * the claim fails: a cut-off primary that believes it leads samples its own old log forever. All
 * times are of this process's clock, so no clocks of two hosts are compared.
 */
public final class GroupTracker {

  /** The last answer of a database, with the times of its probe. */
  private record Answer(DatabaseState state, long sentNanos, long receivedNanos) {}

  private final GroupSpec group;
  private final Map<String, Answer> answers = new HashMap<>();
  private final Map<String, Long> failing = new HashMap<>();
  private final ConfirmedSamples samples = new ConfirmedSamples();
  private Set<String> leaving = Set.of();
  private long currentTerm;

  /** Creates a tracker that knows nothing of the group's databases yet. */
  public GroupTracker(GroupSpec group) {
    this.group = group;
  }

  /** Returns the group that is tracked. */
  public GroupSpec group() {
    return group;
  }

  /**
   * Records an answer. Answers may arrive in any order and from several connections.
   *
   * @param state what the database said; databases outside the group are ignored
   * @param sentNanos when the probe was sent
   * @param receivedNanos when the answer arrived
   */
  public void observed(DatabaseState state, long sentNanos, long receivedNanos) {
    String id = state.databaseId();
    if (!group.databases().contains(id)) {
      return;
    }
    Long failedNanos = failing.get(id);
    if (failedNanos != null && sentNanos - failedNanos >= 0) {
      failing.remove(id);
    }
    answers.merge(id, new Answer(state, sentNanos, receivedNanos), GroupTracker::later);
    currentTerm = Math.max(currentTerm, Math.max(state.logTerm(), state.fencedTerm()));
    if (state.leads()) {
      samples.add(state.position(), sentNanos);
    }
    confirm(state.logTerm());
  }

  /**
   * Joins two answers of one database. A probe sent after the other answer arrived is later. If the
   * probes overlapped, the later state is the one further on, since terms, fences and the offset
   * within a term only grow. (A log is cut back only after its fence has risen above its term, so
   * the position kept here can be too far then, but no majority counts it.)
   */
  private static Answer later(Answer known, Answer fresh) {
    if (fresh.sentNanos - known.receivedNanos >= 0) {
      return fresh;
    }
    DatabaseState further = known.state.further(fresh.state);
    boolean freshSentLast = fresh.sentNanos - known.sentNanos >= 0;
    boolean freshReceivedLast = fresh.receivedNanos - known.receivedNanos >= 0;
    return new Answer(
        further,
        freshSentLast ? fresh.sentNanos : known.sentNanos,
        freshReceivedLast ? fresh.receivedNanos : known.receivedNanos);
  }

  private void confirm(long term) {
    List<Long> sent =
        answers.values().stream()
            .filter(answer -> inTerm(answer.state, term))
            .map(Answer::sentNanos)
            .sorted((a, b) -> Long.signum(b - a))
            .toList();
    if (sent.size() >= group.majority()) {
      samples.confirm(term, sent.get(group.majority() - 1));
    }
  }

  private static boolean inTerm(DatabaseState state, long term) {
    return state.logTerm() == term && state.fencedTerm() <= term;
  }

  /** Records a failed probe. The database gets no reads until it answers a probe sent later. */
  public void failed(String databaseId, long nowNanos) {
    failing.put(databaseId, nowNanos);
  }

  /** Sets the databases on hosts that leave the fleet; they get no new work. */
  public void leaving(Set<String> databaseIds) {
    leaving = Set.copyOf(databaseIds);
  }

  /** Returns whether the last probe of a database was answered and its host stays. */
  public boolean usable(String databaseId) {
    return answers.containsKey(databaseId)
        && !failing.containsKey(databaseId)
        && !leaving.contains(databaseId);
  }

  /**
   * Returns the database that leads with the highest term known, unless any database is fenced
   * above it. Whether it accepts new work is told by {@link #usable}.
   */
  public Optional<Primary> primary() {
    return answers.values().stream()
        .map(Answer::state)
        .filter(state -> state.leads() && state.logTerm() == currentTerm)
        .findFirst()
        .map(state -> new Primary(state.databaseId(), state.logTerm()));
  }

  /** Returns whether a majority of the group holds a commit at this position, unfenced. */
  public boolean majorityHolds(Position position) {
    long holders =
        answers.values().stream()
            .filter(answer -> inTerm(answer.state, position.term()))
            .filter(answer -> answer.state.logOffset() >= position.offset())
            .count();
    return holders >= group.majority();
  }

  /** Returns whether a term above this one is known. */
  public boolean superseded(long term) {
    return currentTerm > term;
  }

  /** Returns the highest term of any log or fence seen; 0 before the first answer. */
  public long currentTerm() {
    return currentTerm;
  }

  /**
   * Returns the latest time of a confirmed sample that the database's known position satisfies: it
   * holds every write acknowledged before that time.
   */
  public OptionalLong confirmedSampleNanos(String databaseId) {
    Answer answer = answers.get(databaseId);
    return answer == null ? OptionalLong.empty() : confirmedSampleNanos(answer.state.position());
  }

  /** Returns the latest time of a confirmed sample that a log at {@code position} satisfies. */
  public OptionalLong confirmedSampleNanos(Position position) {
    return samples.latest(position);
  }

  /** Returns the last known state of a database. */
  public Optional<DatabaseState> state(String databaseId) {
    return Optional.ofNullable(answers.get(databaseId)).map(Answer::state);
  }

  /** Returns when the last answered probe of a database was sent. */
  public OptionalLong lastProbeNanos(String databaseId) {
    Answer answer = answers.get(databaseId);
    return answer == null ? OptionalLong.empty() : OptionalLong.of(answer.sentNanos);
  }
}
