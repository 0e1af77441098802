package org.pollenspar.core.connection;

import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.TransactionState;

/** How the attempt to run a statement at a home host ended. */
public record ForwardOutcome(Kind kind, Answer answer) {

  /** What is known about the statement. */
  public enum Kind {
    /** The home answered; its answer is final. */
    ANSWERED(false),
    /** The home takes no forwarded work now; nothing ran. */
    DECLINED(true),
    /** The home can't reach the databases; nothing ran, and another home may reach them. */
    UNREACHABLE(true),
    /** The home never received the statement; nothing ran. */
    NOT_SENT(true),
    /** The connection to the home ended without an answer; the statement may have run. */
    LOST(false);

    private final boolean nothingRan;

    Kind(boolean nothingRan) {
      this.nothingRan = nothingRan;
    }

    /** Returns whether the same statement may be sent to another home, even if it writes. */
    public boolean nothingRan() {
      return nothingRan;
    }
  }

  /**
   * Returns whether a database may have run something. A home that tried several databases may have
   * lost an attempt before the one whose answer it passes on.
   */
  boolean mayHaveRun() {
    return kind == Kind.ANSWERED || kind == Kind.UNREACHABLE
        ? !answer.nothingRan()
        : !kind.nothingRan();
  }

  /** Returns an outcome without an answer of the home. */
  public static ForwardOutcome unanswered(Kind kind, String reason) {
    return new ForwardOutcome(
        kind,
        Answer.error(
            kind.nothingRan() ? AnswerCode.BUSY : AnswerCode.LOST, reason, TransactionState.IDLE));
  }
}
