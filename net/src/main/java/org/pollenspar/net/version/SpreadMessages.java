package org.pollenspar.net.version;

import java.util.Optional;
import org.pollenspar.core.version.SpreadDigest;
import org.pollenspar.core.version.SpreadKind;
import org.pollenspar.wire.DigestMessage;
import org.pollenspar.wire.Envelope;
import org.pollenspar.wire.FetchValueMessage;
import org.pollenspar.wire.ValueKind;
import org.pollenspar.wire.ValueMessage;

/** Codec between the types of the gossip logic and the messages on the wire. */
final class SpreadMessages {
  private SpreadMessages() {}

  static Envelope.Builder digest(SpreadDigest digest) {
    return Envelope.newBuilder().setDigest(message(digest));
  }

  static Envelope.Builder digestAck(SpreadDigest digest) {
    return Envelope.newBuilder().setDigestAck(message(digest));
  }

  static Envelope.Builder fetch(SpreadKind kind) {
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

  /** The answer of a process that does not have the value. */
  static Envelope.Builder noValue() {
    return Envelope.newBuilder().setValue(ValueMessage.getDefaultInstance());
  }

  static SpreadDigest digest(DigestMessage message) {
    return new SpreadDigest(
        message.getConfigVersion(), message.getHostListRevision(), message.getLeaving());
  }

  static Optional<SpreadKind> kind(ValueKind kind) {
    return switch (kind) {
      case CONFIGURATION -> Optional.of(SpreadKind.CONFIGURATION);
      case HOST_LIST -> Optional.of(SpreadKind.HOST_LIST);
      case VALUE_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
    };
  }

  private static ValueKind wireKind(SpreadKind kind) {
    return switch (kind) {
      case CONFIGURATION -> ValueKind.CONFIGURATION;
      case HOST_LIST -> ValueKind.HOST_LIST;
    };
  }

  private static DigestMessage message(SpreadDigest digest) {
    return DigestMessage.newBuilder()
        .setConfigVersion(digest.configVersion())
        .setHostListRevision(digest.hostListRevision())
        .setLeaving(digest.leaving())
        .build();
  }
}
