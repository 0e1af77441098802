package org.pollenspar.core.process;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** The platform's call that makes a replica the primary. */
public interface PromotionService {
  /** Time after its sending at which a call has ended; its connection is reset then. */
  int CALL_LIMIT_MS = 1_200;

  /** How a call ended. */
  enum Outcome {
    /** The database is the primary or will be soon. */
    ACCEPTED,
    /** The database isn't running. */
    NOT_RUNNING,
    /** The call was refused or could not be sent; it never takes effect. */
    NOT_EXECUTED,
    /** The call got no answer; it may take effect later. */
    UNKNOWN
  }

  /**
   * Promotes a database.
   *
   * @param holder name of the host that holds the failover lease
   * @param fence fencing token of the failover lease
   * @param allowed whether the call may still be made; asked right before it is sent, since opening
   *     a connection takes time in which the host may lose the failover lease
   */
  void promote(
      String group,
      String database,
      String holder,
      long fence,
      BooleanSupplier allowed,
      Consumer<Outcome> done);
}
