package org.pollenspar.core.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * SHA-256 of a kind of work and its statements: tells whether two requests with one key are the
 * same request. Each part is preceded by its length, so that no two lists of statements give the
 * same bytes.
 */
public final class Fingerprint {

  private Fingerprint() {}

  /** Returns the fingerprint of a request, in hexadecimal. */
  public static String of(WorkRequest request) {
    return of(request.kind().name(), request.statements());
  }

  /** Returns the fingerprint of a kind's name and its statements, in hexadecimal. */
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
      throw new IllegalStateException("SHA-256 is missing from this Java runtime.", e);
    }
  }

  private static void add(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
    digest.update(bytes);
  }
}
