package org.pollenspar.net.version;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;

/**
 * Text compressed with gzip. Configuration and host list repeat the same names and keys in every
 * entry; uncompressed, passing them on took most of a node's traffic budget at the design scale.
 */
public final class CompressedText {
  /** Bounds the memory that a malformed message can claim. */
  static final int MAX_BYTES = 8 << 20;

  private CompressedText() {}

  /** Compresses a text. */
  public static ByteString compress(String text) {
    ByteString.Output bytes = ByteString.newOutput();
    try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
      gzip.write(text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteString();
  }

  /** Expands a text; a left side of kind {@code MALFORMED_JSON} says why it cannot. */
  static Either<PollensparError, String> decompress(ByteString compressed) {
    try (GZIPInputStream gzip = new GZIPInputStream(compressed.newInput())) {
      byte[] bytes = gzip.readNBytes(MAX_BYTES + 1);
      if (bytes.length > MAX_BYTES) {
        return malformed("it expands to more than " + MAX_BYTES + " bytes");
      }
      return Either.right(new String(bytes, StandardCharsets.UTF_8));
    } catch (IOException e) {
      return malformed("it cannot be expanded: " + e.getMessage());
    }
  }

  private static Either<PollensparError, String> malformed(String reason) {
    return Either.left(PollensparError.of(ErrorKind.MALFORMED_JSON, reason));
  }
}
