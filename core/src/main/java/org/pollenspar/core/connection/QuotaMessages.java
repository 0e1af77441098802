package org.pollenspar.core.connection;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.process.Member;

/** Calls the {@link QuotaService} of other hosts. */
public interface QuotaMessages {
  /**
   * Asks another host for one operation.
   *
   * @param done receives the decision, however late, or null if the connection fails
   */
  void ask(Member coordinator, QuotaRequest request, Consumer<@Nullable QuotaDecision> done);

  /** Gives a grant back; see {@link QuotaService#giveBack}. */
  void giveBack(Member coordinator, String organisation, boolean relayed);

  /**
   * Sends a heartbeat to the second coordinator; see {@link QuotaService#heartbeat}.
   *
   * @param done receives the acknowledgement, or null if the connection fails
   */
  void heartbeat(
      Member second,
      String organisation,
      String coordinator,
      long sharedMillis,
      Consumer<@Nullable QuotaAcknowledgement> done);
}
