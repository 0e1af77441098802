package org.pollenspar.core.connection;

import io.vavr.control.Either;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;

/**
 * Encodes session tokens as URL-safe text authenticated by HMAC-SHA256, and decodes them.
 *
 * <p>The MAC prevents a caller from forging a position that no database will ever reach, which
 * would make reads wait for the whole deadline at every proxy. The MAC is checked before the
 * content is parsed, and it is compared in constant time.
 */
public final class TokenCodec {
  /** Longest accepted text: about 1,500 groups, and a quarter of the largest request body. */
  public static final int MAX_CHARACTERS = 64 * 1024;

  private static final String ALGORITHM = "HmacSHA256";
  private static final int MAC_BYTES = 32;
  private static final int MIN_SECRET_BYTES = 16;
  private static final int FORMAT = 1;

  private final SecretKeySpec key;

  /**
   * Creates a codec.
   *
   * @param secret shared by all proxies of a fleet, at least 16 bytes
   */
  public TokenCodec(byte[] secret) {
    if (secret.length < MIN_SECRET_BYTES) {
      throw new IllegalArgumentException("The secret must have at least 16 bytes.");
    }
    this.key = new SecretKeySpec(secret, ALGORITHM);
  }

  /** Encodes a token; throws {@code BODY_TOO_LARGE} if it has too many groups. */
  public String encode(SessionToken token) {
    byte[] payload = payload(token);
    byte[] mac = mac(payload, payload.length);
    byte[] all = Arrays.copyOf(payload, payload.length + MAC_BYTES);
    System.arraycopy(mac, 0, all, payload.length, MAC_BYTES);
    String text = Base64.getUrlEncoder().withoutPadding().encodeToString(all);
    if (text.length() > MAX_CHARACTERS) {
      throw PollensparError.of(ErrorKind.BODY_TOO_LARGE, MAX_CHARACTERS).asException();
    }
    return text;
  }

  /** Decodes a token; returns {@code INVALID_TOKEN} if the text is malformed or altered. */
  public Either<PollensparError, SessionToken> decode(String text) {
    if (text.length() > MAX_CHARACTERS) {
      return invalid();
    }
    try {
      byte[] all = Base64.getUrlDecoder().decode(text);
      int length = all.length - MAC_BYTES;
      if (length <= 0) {
        return invalid();
      }
      byte[] given = Arrays.copyOfRange(all, length, all.length);
      if (!MessageDigest.isEqual(given, mac(all, length))) {
        return invalid();
      }
      return Either.right(parse(all, length));
    } catch (IllegalArgumentException | IOException e) {
      return invalid();
    }
  }

  private static Either<PollensparError, SessionToken> invalid() {
    return Either.left(PollensparError.of(ErrorKind.INVALID_TOKEN));
  }

  private static byte[] payload(SessionToken token) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(FORMAT);
      out.writeUTF(token.sessionId());
      Map<String, Position> sorted = new TreeMap<>(token.positions());
      out.writeInt(sorted.size());
      for (Map.Entry<String, Position> entry : sorted.entrySet()) {
        out.writeUTF(entry.getKey());
        out.writeLong(entry.getValue().term());
        out.writeLong(entry.getValue().offset());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static SessionToken parse(byte[] payload, int length) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload, 0, length));
    if (in.readByte() != FORMAT) {
      throw new IOException("unknown format");
    }
    String sessionId = in.readUTF();
    int count = in.readInt();
    Map<String, Position> positions = new TreeMap<>();
    for (int i = 0; i < count; i++) {
      positions.put(in.readUTF(), new Position(in.readLong(), in.readLong()));
    }
    if (in.available() > 0) {
      throw new IOException("trailing bytes");
    }
    return new SessionToken(sessionId, positions);
  }

  private byte[] mac(byte[] bytes, int length) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update(bytes, 0, length);
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("HMAC-SHA256 is missing from this Java runtime.", e);
    }
  }
}
