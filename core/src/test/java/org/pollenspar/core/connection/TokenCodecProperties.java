package org.pollenspar.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.PollensparException;

/** Guards against tokens that lose a position in encoding, or that a caller can forge. */
class TokenCodecProperties {
  private static final TokenCodec CODEC = new TokenCodec(secret("0123456789abcdef"));

  private static byte[] secret(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static void assertInvalid(Either<PollensparError, SessionToken> result) {
    assertTrue(result.isLeft());
    assertEquals(ErrorKind.INVALID_TOKEN, result.getLeft().kind());
  }

  @Property(seed = "41", tries = 200)
  void encodedTokenReadsBack(
      @ForAll @StringLength(max = 20) String session,
      @ForAll @Size(max = 8) Map<@StringLength(max = 12) String, Long> offsets) {
    Map<String, Position> positions = new HashMap<>();
    offsets.forEach((group, offset) -> positions.put(group, new Position(3, offset)));
    SessionToken token = new SessionToken(session, positions);
    String text = CODEC.encode(token);
    assertTrue(text.matches("[A-Za-z0-9_-]+"), "not URL-safe");
    assertEquals(token, CODEC.decode(text).get());
  }

  @Property(seed = "42", tries = 200)
  void alteredOrTruncatedTokenIsRefused(
      @ForAll @IntRange(max = 1000) int place, @ForAll @IntRange(min = 1, max = 63) int change) {
    String alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    // 61 payload bytes and 32 MAC bytes are a multiple of 3, so no character has unused bits.
    String text = CODEC.encode(new SessionToken("s".repeat(35), Map.of("g", new Position(1, 2))));
    assertEquals(0, text.length() % 4);
    int index = place % text.length();
    char altered = alphabet.charAt((alphabet.indexOf(text.charAt(index)) + change) % 64);
    assertInvalid(CODEC.decode(text.substring(0, index) + altered + text.substring(index + 1)));
    assertInvalid(CODEC.decode(text.substring(0, index)));
    assertInvalid(CODEC.decode(text + altered));
    assertInvalid(new TokenCodec(secret("another secret 16")).decode(text));
  }

  @Property(tries = 1)
  void oversizedTokenIsRefused() {
    assertInvalid(CODEC.decode("A".repeat(TokenCodec.MAX_CHARACTERS + 1)));
    Map<String, Position> many = new HashMap<>();
    for (int i = 0; i < 3000; i++) {
      many.put("group-" + i, Position.ZERO);
    }
    SessionToken token = new SessionToken("s", many);
    assertThrows(PollensparException.class, () -> CODEC.encode(token));
    assertThrows(IllegalArgumentException.class, () -> new TokenCodec(new byte[15]));
  }
}
