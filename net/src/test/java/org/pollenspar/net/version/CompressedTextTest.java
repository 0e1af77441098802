package org.pollenspar.net.version;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.ErrorKind;

/**
 * Guards against damaged values, and against a message whose decompressed text exhausts the memory.
 */
class CompressedTextTest {

  @Nested
  class Decompressing {

    @Test
    void returnsTheText() {
      String text = "{\"name\": \"Áridos\"}".repeat(1000);
      ByteString compressed = CompressedText.compress(text);
      assertEquals(text, CompressedText.decompress(compressed).get());
      assertTrue(compressed.size() < text.length() / 10);
    }

    @Test
    void refusesWhatIsNotGzip() {
      assertMalformed(ByteString.copyFromUtf8("plain text"));
      assertMalformed(ByteString.EMPTY);
    }

    @Test
    void refusesTruncatedData() {
      ByteString whole = CompressedText.compress("value".repeat(1000));
      assertMalformed(whole.substring(0, whole.size() - 9));
    }

    @Test
    void refusesTextBeyondTheLimit() {
      assertMalformed(CompressedText.compress(" ".repeat(CompressedText.MAX_BYTES + 1)));
    }

    private void assertMalformed(ByteString bytes) {
      assertEquals(ErrorKind.MALFORMED_JSON, CompressedText.decompress(bytes).getLeft().kind());
    }
  }
}
