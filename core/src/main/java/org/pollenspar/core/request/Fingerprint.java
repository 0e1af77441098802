package org.pollenspar.core.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * SHA-256 of a kind of work and its statements. Two requests with the same idempotency key are the
 * same request if their fingerprints are equal.
 *
 * <p>Each text is preceded by its length, so that different lists of statements never give the same
 * bytes.
 */
public final class Fingerprint {

  private Fingerprint() {}

  /** Returns the fingerprint of a request, in hexadecimal. */
  public static String of(WorkRequest request) {
    return of(request.kind().name(), request.statements());
  }

  /** Returns the fingerprint of statements of the named kind, in hexadecimal. */
  public static String of(String kind, List<Statement> statements) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      add(digest, kind);
      for (Statement statement : statements) {
        add(digest, statement.sql());
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(statement.expectedRows()).flip());
      }
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("This Java runtime does not provide SHA-256.", e);
    }
  }

  private static void add(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
    digest.update(bytes);
  }
}
