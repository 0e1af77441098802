package org.pollenspar.edge.connection;

import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.QuotaAcknowledgement;
import org.pollenspar.core.connection.QuotaDecision;
import org.pollenspar.core.connection.QuotaRequest;
import org.pollenspar.core.version.Organisation.RateLimit;
import org.pollenspar.wire.fleet.FleetEnvelope;
import org.pollenspar.wire.fleet.QuotaHeartbeat;
import org.pollenspar.wire.fleet.QuotaReturn;
import org.pollenspar.wire.fleet.QuotaState;

/** Encodes and decodes the messages about the rates of organisations. */
public final class QuotaCodec {
  private QuotaCodec() {}

  /** Encodes a request under an id. */
  public static FleetEnvelope request(long id, QuotaRequest request) {
    return FleetEnvelope.newBuilder()
        .setRequestId(id)
        .setQuotaRequest(
            org.pollenspar.wire.fleet.QuotaRequest.newBuilder()
                .setOrganisation(request.organisation())
                .setPerSecond(request.limit().perSecond())
                .setBurst(request.limit().burst())
                .setVersion(request.version())
                .setRelayed(request.relayed()))
        .build();
  }

  /** Decodes a request. */
  public static QuotaRequest request(FleetEnvelope message) {
    org.pollenspar.wire.fleet.QuotaRequest request = message.getQuotaRequest();
    return new QuotaRequest(
        request.getOrganisation(),
        new RateLimit(request.getPerSecond(), request.getBurst()),
        request.getVersion(),
        request.getRelayed());
  }

  /** Encodes the decision about the request of an id. */
  public static FleetEnvelope decision(long id, QuotaDecision decision) {
    QuotaState state =
        switch (decision.kind()) {
          case GRANTED -> QuotaState.QUOTA_GRANTED;
          case REFUSED -> QuotaState.QUOTA_REFUSED;
          case DECLINED -> QuotaState.QUOTA_DECLINED;
        };
    return FleetEnvelope.newBuilder()
        .setRequestId(id)
        .setQuotaDecision(
            org.pollenspar.wire.fleet.QuotaDecision.newBuilder()
                .setState(state)
                .setRetryAfterMs((int) decision.retryAfterMillis()))
        .build();
  }

  /** Decodes a decision; one of an unknown kind counts as declined. */
  public static QuotaDecision decision(FleetEnvelope message) {
    QuotaDecision.Kind kind =
        switch (message.getQuotaDecision().getState()) {
          case QUOTA_GRANTED -> QuotaDecision.Kind.GRANTED;
          case QUOTA_REFUSED -> QuotaDecision.Kind.REFUSED;
          default -> QuotaDecision.Kind.DECLINED;
        };
    return new QuotaDecision(kind, message.getQuotaDecision().getRetryAfterMs());
  }

  /** Encodes that a grant is given back. */
  public static FleetEnvelope giveBack(String organisation, boolean relayed) {
    return FleetEnvelope.newBuilder()
        .setQuotaReturn(QuotaReturn.newBuilder().setOrganisation(organisation).setRelayed(relayed))
        .build();
  }

  /** Encodes a heartbeat, without an id. */
  public static FleetEnvelope.Builder heartbeat(
      String organisation, String coordinator, long sharedMillis) {
    return FleetEnvelope.newBuilder()
        .setQuotaHeartbeat(
            QuotaHeartbeat.newBuilder()
                .setOrganisation(organisation)
                .setCoordinator(coordinator)
                .setSharedMs((int) sharedMillis));
  }

  /** Encodes the answer to the heartbeat of an id. */
  public static FleetEnvelope acknowledgement(long id, QuotaAcknowledgement answer) {
    return FleetEnvelope.newBuilder()
        .setRequestId(id)
        .setQuotaAcknowledgement(
            org.pollenspar.wire.fleet.QuotaAcknowledgement.newBuilder()
                .setFollows(answer.follows())
                .setSole(answer.sole())
                .setEpoch(answer.epoch()))
        .build();
  }

  /** Decodes the answer to a heartbeat; null if the message is another one. */
  public static @Nullable QuotaAcknowledgement acknowledgement(FleetEnvelope message) {
    return message.hasQuotaAcknowledgement()
        ? new QuotaAcknowledgement(
            message.getQuotaAcknowledgement().getFollows(),
            message.getQuotaAcknowledgement().getSole(),
            message.getQuotaAcknowledgement().getEpoch())
        : null;
  }
}
