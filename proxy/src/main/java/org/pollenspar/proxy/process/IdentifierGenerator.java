package org.pollenspar.proxy.process;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/** Generates identifiers that are unique across processes. Safe for use by several threads. */
final class IdentifierGenerator {
  private static final int ID_BYTES = 16;
  private static final int NONCE_PREFIX_BYTES = 6;

  private final SecureRandom random = new SecureRandom();
  private final String noncePrefix = hex(NONCE_PREFIX_BYTES);
  private final AtomicLong nonces = new AtomicLong();

  /** Returns a source of randomness that several threads may use. */
  RandomGenerator random() {
    return random;
  }

  /** Returns a nonce. A counter suffices, since nonces only tell this process's answers apart. */
  String nonce() {
    return noncePrefix + "-" + Long.toHexString(nonces.incrementAndGet());
  }

  String session() {
    return hex(ID_BYTES);
  }

  /** Returns the idempotency key of a write that was sent without one. */
  String key() {
    return "proxy-" + hex(ID_BYTES);
  }

  private String hex(int bytes) {
    byte[] buffer = new byte[bytes];
    random.nextBytes(buffer);
    return HexFormat.of().formatHex(buffer);
  }
}
