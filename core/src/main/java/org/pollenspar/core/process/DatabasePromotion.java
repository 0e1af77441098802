package org.pollenspar.core.process;

import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Promotes one database for a {@link PrimaryChange}: calls the platform and asks the database until
 * it leads.
 *
 * <p>A call without an answer may still take effect. It is repeated only if the database does not
 * show within a limit that it has. Before each call, the failover lease is checked.
 */
final class DatabasePromotion {
  private static final long POLL_MS = 100;

  /** How long the database is asked after a call without an answer, before the next call. */
  private static final long UNANSWERED_CALL_MS = 1_500;

  /** Pause before another call, since the platform refuses calls beyond a rate. */
  private static final long NOT_RUNNING_PAUSE_MS = 500;

  /** How a promotion ended that did not fail. */
  enum Result {
    /** The database leads in place of the old primary. */
    LEADS,
    /** The call was accepted, but the database was not seen to lead. */
    NOT_SEEN,
    /** The platform reports that the database isn't running. */
    NOT_RUNNING
  }

  private final ControlContext context;
  private final PromotionCalls calls;
  private final String group;
  private final String database;
  private final long fence;
  private final long deadlineNanos;
  private final long newestTerm;
  private final Predicate<DatabaseControl.DatabaseStatus> leads;
  private final Consumer<Result> done;
  private final Consumer<String> failed;
  private boolean ended;

  /**
   * Prepares a promotion of a database that is recorded as the candidate.
   *
   * @param deadlineNanos no call is repeated after this time
   * @param newestTerm newest term of a primary that is known to have led before the first call
   * @param leads whether a database with this status leads in place of the old primary
   * @param failed receives the reason if no call may be made any more
   */
  DatabasePromotion(
      ControlContext context,
      PromotionCalls calls,
      String group,
      String database,
      long fence,
      long deadlineNanos,
      long newestTerm,
      Predicate<DatabaseControl.DatabaseStatus> leads,
      Consumer<Result> done,
      Consumer<String> failed) {
    this.context = context;
    this.calls = calls;
    this.group = group;
    this.database = database;
    this.fence = fence;
    this.deadlineNanos = deadlineNanos;
    this.newestTerm = newestTerm;
    this.leads = leads;
    this.done = done;
    this.failed = failed;
  }

  /** Makes the first call. */
  void start() {
    if (!context.failoverLeaseHeld().getAsBoolean()) {
      failed.accept("the failover lease may have expired, or the process is stopping");
      return;
    }
    int number = calls.sent(database, newestTerm);
    long sentNanos = now();
    log("promotion_called", database + ", call " + number);
    context
        .promotions()
        .promote(
            group,
            database,
            context.holder(),
            fence,
            context.failoverLeaseHeld(),
            outcome -> {
              long millis = millisSince(sentNanos);
              log(
                  "promotion_answered",
                  database + ", call " + number + ": " + outcome + " after " + millis + " ms");
              answered(outcome);
            });
  }

  /** Ends the promotion without a result; a call under way may still take effect. */
  void cancel() {
    ended = true;
  }

  private void answered(PromotionService.Outcome outcome) {
    switch (outcome) {
      case ACCEPTED -> {
        calls.accepted();
        awaitLead(
            leads, now(), PromotionCalls.ACCEPTED_CALL_MS, () -> done.accept(Result.NOT_SEEN));
      }
      case NOT_RUNNING -> {
        calls.notExecuted();
        context.timers().after(NOT_RUNNING_PAUSE_MS, () -> end(Result.NOT_RUNNING));
      }
      case NOT_EXECUTED -> {
        calls.notExecuted();
        context.timers().after(POLL_MS, this::callAgain);
      }
      // UNKNOWN: a call whose answer is missing.
      default ->
          awaitLead(
              status -> status.primary() && calls.tookEffectIn(status.term()),
              now(),
              UNANSWERED_CALL_MS,
              this::callAgain);
    }
  }

  private void end(Result result) {
    if (!ended) {
      done.accept(result);
    }
  }

  private void callAgain() {
    if (ended) {
      return;
    }
    if (now() - deadlineNanos > 0) {
      failed.accept("the platform did not accept the promotion in time");
    } else {
      start();
    }
  }

  /** Asks the database until it leads or the limit has passed. */
  private void awaitLead(
      Predicate<DatabaseControl.DatabaseStatus> tookEffect,
      long sinceNanos,
      long limitMillis,
      Runnable limitPassed) {
    if (ended) {
      return;
    }
    context
        .databases()
        .status(
            group,
            database,
            status -> evaluate(status, tookEffect, sinceNanos, limitMillis, limitPassed));
  }

  private void evaluate(
      DatabaseControl.@Nullable DatabaseStatus status,
      Predicate<DatabaseControl.DatabaseStatus> tookEffect,
      long sinceNanos,
      long limitMillis,
      Runnable limitPassed) {
    if (ended) {
      return;
    }
    if (status != null && tookEffect.test(status)) {
      end(Result.LEADS);
    } else if (millisSince(sinceNanos) > limitMillis) {
      limitPassed.run();
    } else {
      context
          .timers()
          .after(POLL_MS, () -> awaitLead(tookEffect, sinceNanos, limitMillis, limitPassed));
    }
  }

  private void log(String event, String detail) {
    context.listener().changed(event, group, detail);
  }

  private long now() {
    return context.clocks().steadyNanos();
  }

  private long millisSince(long nanos) {
    return (now() - nanos) / 1_000_000;
  }
}
