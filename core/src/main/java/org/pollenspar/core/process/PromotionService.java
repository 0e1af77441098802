package org.pollenspar.core.process;

import java.util.function.Consumer;

/** The platform's call that makes a replica the primary. */
public interface PromotionService {
  /** How a call ended. */
  enum Outcome {
    /** The database leads soon, or leads already. */
    ACCEPTED,
    /** The database isn't running. */
    NOT_RUNNING,
    /** The call was refused or got no answer. */
    RETRY
  }

  /** Promotes a database in the name of the holder of the duty. */
  void promote(String group, String database, String holder, long fence, Consumer<Outcome> done);
}
