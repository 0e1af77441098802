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
 * Compresses the configuration and the host list with gzip for messages to peers. Both repeat the
 * same names and keys in every entry; uncompressed, sending them takes most of a node's traffic
 * budget at the design scale.
 */
public final class CompressedText {
  /** Limit of the decompressed size, so that a malformed message cannot exhaust the memory. */
  static final int MAX_BYTES = 8 << 20;

  private CompressedText() {}

  public static ByteString compress(String text) {
    ByteString.Output bytes = ByteString.newOutput();
    try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
      gzip.write(text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteString();
  }

  /** Decompresses a text; fails with an error of kind {@code MALFORMED_JSON}. */
  static Either<PollensparError, String> decompress(ByteString compressed) {
    try (GZIPInputStream gzip = new GZIPInputStream(compressed.newInput())) {
      byte[] bytes = gzip.readNBytes(MAX_BYTES + 1);
      if (bytes.length > MAX_BYTES) {
        return malformed("the decompressed text exceeds " + MAX_BYTES + " bytes");
      }
      return Either.right(new String(bytes, StandardCharsets.UTF_8));
    } catch (IOException e) {
      return malformed("the text cannot be decompressed: " + e.getMessage());
    }
  }

  private static Either<PollensparError, String> malformed(String reason) {
    return Either.left(PollensparError.of(ErrorKind.MALFORMED_JSON, reason));
  }
}
