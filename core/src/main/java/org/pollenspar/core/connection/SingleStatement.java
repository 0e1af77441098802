package org.pollenspar.core.connection;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.ClockReading;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;

/**
 * Runs one statement outside a transaction.
 *
 * <p>A write is sent at most once. A read is sent again, elsewhere if possible, after an answer
 * that can't be used; the number of attempts is bounded, so that retries do not multiply an
 * overload.
 */
final class SingleStatement implements LinkRequest {
  private static final int ATTEMPTS = 4;

  /** Difference between the clocks that shows that this host was suspended during a read. */
  private static final long SUSPENDED_MS = 300;

  private final SessionContext context;
  private final Route route;
  private final GroupTraffic group;
  private final SessionImage image;
  private final SessionRequest request;
  private final @Nullable Position own;
  private final Consumer<Answer> done;
  private final boolean writes;
  private final Set<DatabaseLane> avoid = new HashSet<>();
  private Timers.@Nullable Timer timeout;
  private GroupTraffic.@Nullable ReadTarget target;
  private @Nullable PooledLink link;
  private @Nullable String refusal;
  private int attempts;
  private long grantedNanos;
  private boolean sent;
  private boolean timedOut;
  private boolean finished;

  SingleStatement(
      SessionContext context,
      Route route,
      GroupTraffic group,
      SessionImage image,
      SessionRequest request,
      @Nullable Position own,
      Consumer<Answer> done) {
    this.context = context;
    this.route = route;
    this.group = group;
    this.image = image;
    this.request = request;
    this.own = own;
    this.done = done;
    this.writes = image.writes(request.statement());
  }

  void start() {
    timeout = context.timers().after(route.statementTimeoutMillis(), this::onTimeout);
    attempt();
  }

  /** The caller left: what waits is withdrawn, what runs ends without a recipient. */
  void abandon() {
    if (target != null && target.lane().withdraw(this)) {
      finish(AnswerCode.BUSY, "the caller left");
    }
  }

  private void attempt() {
    attempts++;
    GroupTraffic.@Nullable ReadTarget next = choose();
    target = next;
    if (next == null) {
      finish(AnswerCode.BUSY, refusal != null ? refusal : unavailable());
    } else {
      next.lane().lend(this);
    }
  }

  private GroupTraffic.@Nullable ReadTarget choose() {
    if (!writes) {
      return group.readTarget(route, own, avoid);
    }
    @Nullable DatabaseLane primary = group.primary();
    return primary == null ? null : new GroupTraffic.ReadTarget(primary, null, true);
  }

  private String unavailable() {
    return "no database of group " + group.group() + " can run this now; retry in 300 ms";
  }

  @Override
  public int priority() {
    return route.priority();
  }

  @Override
  public long patienceNanos() {
    return context.patienceNanos(route, request);
  }

  @Override
  public SessionImage image() {
    return image;
  }

  @Override
  public void refused(AnswerCode code, String reason) {
    GroupTraffic.@Nullable ReadTarget refusedBy = target;
    refusal = reason;
    if (!writes && refusedBy != null && attempts < ATTEMPTS) {
      avoid.add(refusedBy.lane());
      attempt();
    } else {
      finish(code, reason);
    }
  }

  @Override
  public void granted(PooledLink granted) {
    link = granted;
    grantedNanos = context.clocks().steadyNanos();
    granted.prepare(
        image,
        image.shapeOf(request.statement()),
        failure -> {
          if (failure == null) {
            send(granted);
          } else {
            granted.lane().discard(granted);
            link = null;
            retryOr(timedOut ? AnswerCode.TIMED_OUT : AnswerCode.BUSY, failure.detail());
          }
        });
  }

  private void send(PooledLink to) {
    GroupTraffic.@Nullable ReadTarget at = target;
    if (at == null || (at.primary() && group.primary() != at.lane())) {
      giveBack();
      retryOr(AnswerCode.BUSY, unavailable());
      return;
    }
    @Nullable Position after = at.primary() ? null : group.needed(route, own);
    if (!at.primary() && after == null) {
      giveBack();
      retryOr(AnswerCode.LAGGING, "the end of the primary's log is not known");
      return;
    }
    ClockReading now = ClockReading.now(context.clocks());
    sent = true;
    if (writes) {
      group.authority().writeStarted(group.group());
    }
    long term = group.term();
    to.run(
        new DatabaseCommand.Forward(request.id(), request.statement(), preparedName(to), after),
        answer -> completed(to, answer, now, term));
  }

  private @Nullable String preparedName(PooledLink to) {
    var shape = image.shapeOf(request.statement());
    return shape == null ? null : to.preparedName(shape);
  }

  private void completed(PooledLink from, Answer answer, ClockReading sentAt, long term) {
    DatabaseLane lane = from.lane();
    if (answer.code() != AnswerCode.LOST) {
      group.observe(lane, route.priority(), answer, sentAt.steadyNanos());
    }
    if (answer.code() == AnswerCode.NO_SUCH_STATEMENT) {
      from.forgetNames();
      sent = false;
    }
    giveBack();
    if (writes && answer.code() == AnswerCode.NO_SUCH_STATEMENT) {
      group.authority().writeEnded(group.group());
      retryOr(answer.code(), answer.detail());
    } else if (writes) {
      finishWrite(lane, answer, term);
      group.authority().writeEnded(group.group());
    } else if (!answer.ok()) {
      readFailed(lane, answer);
    } else if (stale(lane, sentAt, term)) {
      retryOr(AnswerCode.BUSY, "the answer may be out of date");
    } else {
      lane.noteFresh();
      finish(answer);
    }
  }

  private void finishWrite(DatabaseLane lane, Answer answer, long term) {
    boolean reportable =
        !answer.ok()
            || group.authority().mayAcknowledgeWrite(group.group(), lane.entry().id(), term);
    if (answer.code() == AnswerCode.LOST) {
      finish(
          timedOut ? AnswerCode.TIMED_OUT : AnswerCode.IN_DOUBT,
          "the database's answer did not arrive; read the item before writing it again");
    } else if (!reportable) {
      finish(AnswerCode.IN_DOUBT, "the primary is being replaced; read the item first");
    } else {
      finish(answer);
    }
  }

  private void readFailed(DatabaseLane lane, Answer answer) {
    if (answer.code() != AnswerCode.NO_SUCH_STATEMENT) {
      avoid.add(lane);
    }
    if (answer.code() == AnswerCode.LAGGING) {
      lane.noteLagging();
    }
    if (timedOut) {
      finish(AnswerCode.TIMED_OUT, "the statement exceeded the time limit of its route");
    } else {
      AnswerCode code = answer.code() == AnswerCode.LOST ? AnswerCode.FAILED : answer.code();
      retryOr(code, answer.detail());
    }
  }

  /** Returns whether the evidence on which a read was sent no longer stands. */
  private boolean stale(DatabaseLane lane, ClockReading sentAt, long term) {
    GroupTraffic.@Nullable ReadTarget at = target;
    if (at != null && at.primary()) {
      return !group.authority().leads(group.group(), lane.entry().id(), term);
    }
    return sentAt.pausedMillis(context.clocks()) > SUSPENDED_MS;
  }

  private void retryOr(AnswerCode code, String detail) {
    boolean mayRepeat = !writes || !sent;
    if (mayRepeat && !timedOut && attempts < ATTEMPTS) {
      if (route.kind() == RouteKind.PRIMARY || writes) {
        avoid.clear();
      }
      attempt();
    } else {
      finish(code, detail);
    }
  }

  private void giveBack() {
    @Nullable PooledLink used = link;
    link = null;
    if (used != null) {
      used.lane().giveBack(used, grantedNanos);
    }
  }

  private void onTimeout() {
    if (finished) {
      return;
    }
    GroupTraffic.@Nullable ReadTarget at = target;
    @Nullable PooledLink used = link;
    if (used != null) {
      timedOut = true;
      used.lane().timedOut(used, route.statementTimeoutMillis());
    } else if (at != null && at.lane().withdraw(this)) {
      finish(AnswerCode.BUSY, "no connection became free; retry later");
    }
  }

  private void finish(AnswerCode code, String detail) {
    finish(Answer.error(code, detail, TransactionState.IDLE));
  }

  private void finish(Answer answer) {
    if (finished) {
      return;
    }
    finished = true;
    if (timeout != null) {
      timeout.cancel();
    }
    @Nullable DatabaseLane lane = target == null ? null : target.lane();
    context.decisions().answered(request, route, lane, attempts, answer);
    done.accept(answer);
  }
}
