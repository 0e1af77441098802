package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.pollenspar.core.version.GroupSpec;

/**
 * Tracks the state of one group at a home proxy, which is one of the proxies that run the requests
 * of the group. The answers to probes are the only input. All methods run on one thread.
 *
 * <p><b>Acknowledgement.</b> A database holds a commit at term t and offset p, written (t, p), if
 * its log has term t and an offset of at least p and its fence is not above t. A commit may be
 * acknowledged once a majority held it, each database at its own time. Claim: the commit survives
 * every later promotion. Let H be the majority that held the commit. Before a later term is
 * granted, its owner fences a majority F. Some database is in both H and F. It answered unfenced
 * with at least (t, p), so it held the commit before it was fenced. The most advanced log in F is
 * at least as far: either of term t with an offset of at least p, so the commit is in its prefix,
 * or of a later term, which contains the commit by induction over terms. So the commit survives,
 * and it doesn't matter how old the evidence is. Offsets alone prove nothing: an old primary that
 * was isolated can hold a longer log, which is discarded when it joins the new term.
 *
 * <p>The induction requires one property of the databases: a database that joins term u takes u as
 * its log term only once it holds the log up to the start of u. Otherwise a database far behind
 * could join u, win the next promotion by its log term alone, and become primary with a log that
 * lacks acknowledged writes of earlier terms.
 *
 * <p><b>Staleness.</b> A sample is a position (t, p) that an unfenced primary reported and the time
 * s at which the probe was sent. It is confirmed once a majority answered probes sent at s or later
 * with log term t and a fence not above t. Claim: a log that includes (t, p) holds every write
 * acknowledged before s. Let a write be acknowledged before s at (u, q).
 *
 * <ul>
 *   <li>u = t: the primary had committed it before s, and the probe was sent at s, so q is at most
 *       p.
 *   <li>u &lt; t: by the argument above the log of term t holds it, at the same offset q.
 *   <li>u &gt; t is impossible: before anything was acknowledged in u, a majority had been fenced
 *       at u. Fences never decrease, so any majority contains a database that answers a probe sent
 *       at s or later with a fence above t, and the sample is not confirmed.
 * </ul>
 *
 * <p>A log that includes (t, p) by {@link Position#includes} has term t, and then reaches at least
 * q, or a later term, and then holds every acknowledged write at its offset. Without confirmation
 * the claim fails: an isolated primary that has not learned of the new term reports positions of
 * its own old log indefinitely. All times are read from the clock of this process, so clocks of
 * different hosts are never compared.
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

  /** Creates a tracker without any answer yet. */
  public GroupTracker(GroupSpec group) {
    this.group = group;
  }

  public GroupSpec group() {
    return group;
  }

  /**
   * Records an answer. Answers may arrive in any order and from several connections.
   *
   * @param state state that the database reported; databases outside the group are ignored
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
   * Merges two answers of one database. An answer is later if its probe was sent after the other
   * answer had arrived. If the probes overlapped in time, {@link DatabaseState#later} tells the
   * later state, since terms, fences and the offset within a term only grow. (A log is truncated
   * only after its fence has risen above its term. The position kept here can then be beyond the
   * end of the log, but such a position is not counted towards a majority.)
   */
  private static Answer later(Answer known, Answer fresh) {
    if (fresh.sentNanos - known.receivedNanos >= 0) {
      return fresh;
    }
    DatabaseState laterState = known.state.later(fresh.state);
    boolean freshSentLast = fresh.sentNanos - known.sentNanos >= 0;
    boolean freshReceivedLast = fresh.receivedNanos - known.receivedNanos >= 0;
    return new Answer(
        laterState,
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

  /** Records a failed probe. The database is not usable until it answers a probe sent later. */
  public void failed(String databaseId, long nowNanos) {
    failing.put(databaseId, nowNanos);
  }

  /** Sets the databases whose hosts are leaving the fleet; they get no new work. */
  public void leaving(Set<String> databaseIds) {
    leaving = Set.copyOf(databaseIds);
  }

  /** Returns whether the last probe of a database was answered and its host is not leaving. */
  public boolean usable(String databaseId) {
    return answers.containsKey(databaseId)
        && !failing.containsKey(databaseId)
        && !leaving.contains(databaseId);
  }

  /**
   * Returns the primary of the highest term known; empty if any database is fenced above that term.
   * {@link #usable} tells whether the primary accepts new work.
   */
  public Optional<Primary> primary() {
    return answers.values().stream()
        .map(Answer::state)
        .filter(state -> state.leads() && state.logTerm() == currentTerm)
        .findFirst()
        .map(state -> new Primary(state.databaseId(), state.logTerm()));
  }

  /** Returns whether an unfenced majority of the group holds a commit at this position. */
  public boolean majorityHolds(Position position) {
    long holders =
        answers.values().stream()
            .filter(answer -> inTerm(answer.state, position.term()))
            .filter(answer -> answer.state.logOffset() >= position.offset())
            .count();
    return holders >= group.majority();
  }

  /** Returns whether a higher term than this one is known. */
  public boolean superseded(long term) {
    return currentTerm > term;
  }

  /** Returns the highest term of any log or fence seen; 0 before the first answer. */
  public long currentTerm() {
    return currentTerm;
  }

  /**
   * Returns the time of the latest confirmed sample that the database's log includes. The database
   * holds every write acknowledged before that time.
   */
  public OptionalLong confirmedSampleNanos(String databaseId) {
    Answer answer = answers.get(databaseId);
    return answer == null ? OptionalLong.empty() : confirmedSampleNanos(answer.state.position());
  }

  /** Returns the time of the latest confirmed sample that a log at {@code position} includes. */
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
