package org.pollenspar.core.version;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;

/** Converts {@link ConfigurationVersion} to and from the JSON stored under {@link #KEY}. */
public final class ConfigurationJson {
  /** Key of the configuration in the platform's key-value service. */
  public static final String KEY = "pollenspar/configuration";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ConfigurationJson() {}

  public static String encode(ConfigurationVersion version) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("version", version.version());
    root.put("apply_id", version.applyId());
    root.put("author", version.author());
    root.put("sha256", version.sha256());
    root.put("text", version.text());
    ArrayNode recent = root.putArray("recent");
    for (ConfigurationVersion.RecentApply apply : version.recent()) {
      recent.addObject().put("version", apply.version()).put("apply_id", apply.applyId());
    }
    return root.toString();
  }

  /**
   * Parses a version. Returns an error if a field is missing or the text does not match its hash.
   */
  public static Either<PollensparError, ConfigurationVersion> decode(String json) {
    JsonNode root;
    try {
      root = MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      return Either.left(
          PollensparError.of(ErrorKind.MALFORMED_JSON, KEY + ": " + e.getOriginalMessage()));
    }
    for (String field : List.of("apply_id", "author", "sha256", "text")) {
      if (!root.path(field).isTextual()) {
        return invalid(field, "not a string");
      }
    }
    long version = root.path("version").asLong();
    if (version <= 0) {
      return invalid("version", "not a positive integer");
    }
    String text = root.path("text").textValue();
    String sha256 = root.path("sha256").textValue();
    if (!ConfigurationVersion.hash(text).equals(sha256)) {
      return invalid("sha256", "not the SHA-256 hash of the text");
    }
    List<ConfigurationVersion.RecentApply> recent = new ArrayList<>();
    for (JsonNode apply : root.path("recent")) {
      recent.add(
          new ConfigurationVersion.RecentApply(
              apply.path("version").asLong(), apply.path("apply_id").asText()));
    }
    return Either.right(
        new ConfigurationVersion(
            version,
            root.path("apply_id").textValue(),
            root.path("author").textValue(),
            sha256,
            text,
            recent));
  }

  private static Either<PollensparError, ConfigurationVersion> invalid(String field, String why) {
    return Either.left(PollensparError.of(ErrorKind.INVALID_FIELD, KEY + "." + field, why));
  }
}
