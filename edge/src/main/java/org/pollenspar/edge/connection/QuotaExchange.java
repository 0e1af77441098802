package org.pollenspar.edge.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.QuotaDecision;
import org.pollenspar.core.connection.QuotaRequest;
import org.pollenspar.core.connection.QuotaService;
import org.pollenspar.wire.fleet.FleetEnvelope;

/**
 * The messages about the rates of organisations on one {@link FleetChannel}.
 *
 * <p>A request has no timeout here: the one who asks stops waiting much earlier than the connection
 * counts as broken, and a grant that arrives after that must still be given back. Requests without
 * an answer receive null when the connection ends.
 */
final class QuotaExchange {
  private final Supplier<QuotaService> service;
  private final Map<Long, Consumer<@Nullable QuotaDecision>> pending = new HashMap<>();

  QuotaExchange(Supplier<QuotaService> service) {
    this.service = service;
  }

  /** Registers a request and returns its message. */
  FleetEnvelope request(long id, QuotaRequest request, Consumer<@Nullable QuotaDecision> done) {
    pending.put(id, done);
    return QuotaCodec.request(id, request);
  }

  /** Returns whether no answer is due. */
  boolean idle() {
    return pending.isEmpty();
  }

  /** Receives a message of the other end. */
  void received(FleetEnvelope message, Consumer<FleetEnvelope> answer) {
    long id = message.getRequestId();
    switch (message.getBodyCase()) {
      case QUOTA_REQUEST ->
          service
              .get()
              .ask(
                  QuotaCodec.request(message),
                  decision -> answer.accept(QuotaCodec.decision(id, decision)));
      case QUOTA_RETURN ->
          service
              .get()
              .giveBack(
                  message.getQuotaReturn().getOrganisation(),
                  message.getQuotaReturn().getRelayed());
      case QUOTA_HEARTBEAT ->
          service
              .get()
              .heartbeat(
                  message.getQuotaHeartbeat().getOrganisation(),
                  message.getQuotaHeartbeat().getCoordinator(),
                  message.getQuotaHeartbeat().getSharedMs(),
                  acknowledgement ->
                      answer.accept(QuotaCodec.acknowledgement(id, acknowledgement)));
      case QUOTA_DECISION -> {
        @Nullable Consumer<@Nullable QuotaDecision> done = pending.remove(id);
        if (done != null) {
          done.accept(QuotaCodec.decision(message));
        }
      }
      default -> throw new IllegalArgumentException(message.getBodyCase().name());
    }
  }

  /** Ends all requests without an answer. */
  void fail() {
    List<Consumer<@Nullable QuotaDecision>> unanswered = List.copyOf(pending.values());
    pending.clear();
    unanswered.forEach(done -> done.accept(null));
  }
}
