package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.SessionRequest;
import org.pollenspar.core.version.Route;

/** Runs the statements of sessions at the databases of one group. */
public interface StatementExecutor {
  /**
   * Prepares the execution of a statement outside a transaction.
   *
   * @param lastCommit last commit of the session in the group of the route, which the read must
   *     include; null for none
   * @param done receives the answer, exactly once after {@link StatementExecution#start}
   */
  StatementExecution statement(
      SessionContext context,
      Route route,
      SessionState sessionState,
      SessionRequest request,
      @Nullable Position lastCommit,
      Consumer<Answer> done);

  /** Opens a transaction; nothing is sent before its first statement. */
  OpenTransaction transaction(
      SessionContext context,
      Route route,
      SessionState sessionState,
      boolean readOnly,
      @Nullable Position lastCommit);

  /** The execution of one statement outside a transaction. */
  interface StatementExecution {
    void start();

    /**
     * Withdraws the statement if it waits, since its caller has disconnected. A statement that runs
     * goes on, and its answer has no recipient.
     */
    void abandon();
  }

  /** A transaction of a session. At most one of its statements runs at a time. */
  interface OpenTransaction {
    /** Returns whether the transaction can only be ended. */
    boolean failed();

    /** Returns whether a statement that changes data was sent. */
    boolean wrote();

    /** Runs a statement, or the commit that ends the transaction. */
    void run(SessionRequest request, Consumer<Answer> done);

    /** Rolls back. The caller is answered without waiting for the database. */
    void rollback();

    /**
     * Ends the transaction because its caller has disconnected. It is rolled back, but a commit
     * that was sent runs to its end.
     */
    void abandon();
  }
}
