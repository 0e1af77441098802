package org.pollenspar.net.version;

import java.util.Optional;
import org.pollenspar.core.version.GossipDigest;
import org.pollenspar.core.version.GossipValueKind;
import org.pollenspar.wire.DigestMessage;
import org.pollenspar.wire.Envelope;
import org.pollenspar.wire.FetchValueMessage;
import org.pollenspar.wire.ValueKind;
import org.pollenspar.wire.ValueMessage;

/** Converts between the types of the gossip protocol and its messages on the wire. */
final class GossipMessages {
  private GossipMessages() {}

  static Envelope.Builder digest(GossipDigest digest) {
    return Envelope.newBuilder().setDigest(message(digest));
  }

  static Envelope.Builder digestAck(GossipDigest digest) {
    return Envelope.newBuilder().setDigestAck(message(digest));
  }

  static Envelope.Builder fetch(GossipValueKind kind) {
    return Envelope.newBuilder()
        .setFetchValue(FetchValueMessage.newBuilder().setKind(wireKind(kind)));
  }

  static Envelope.Builder value(DecodedValue value) {
    return Envelope.newBuilder()
        .setValue(
            ValueMessage.newBuilder()
                .setKind(wireKind(value.value().kind()))
                .setVersion(value.value().version())
                .setGzipJson(CompressedText.compress(value.json())));
  }

  /** Returns the answer of a process that does not have the requested value. */
  static Envelope.Builder noValue() {
    return Envelope.newBuilder().setValue(ValueMessage.getDefaultInstance());
  }

  static GossipDigest digest(DigestMessage message) {
    return new GossipDigest(
        message.getConfigVersion(), message.getHostListRevision(), message.getLeaving());
  }

  static Optional<GossipValueKind> kind(ValueKind kind) {
    return switch (kind) {
      case CONFIGURATION -> Optional.of(GossipValueKind.CONFIGURATION);
      case HOST_LIST -> Optional.of(GossipValueKind.HOST_LIST);
      case VALUE_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
    };
  }

  private static ValueKind wireKind(GossipValueKind kind) {
    return switch (kind) {
      case CONFIGURATION -> ValueKind.CONFIGURATION;
      case HOST_LIST -> ValueKind.HOST_LIST;
    };
  }

  private static DigestMessage message(GossipDigest digest) {
    return DigestMessage.newBuilder()
        .setConfigVersion(digest.configVersion())
        .setHostListRevision(digest.hostListRevision())
        .setLeaving(digest.leaving())
        .build();
  }
}
