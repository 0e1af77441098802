package org.pollenspar.core.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.List;

/**
 * A JSON object from the store, read strictly.
 *
 * <p>Other writers may leave anything under a key, so a field of another type, out of its range or
 * of a size that no valid value has is an error and never converted. Unknown fields are ignored.
 */
public final class StoredValue {
  private static final int MAX_CHARACTERS = 1 << 20;
  private static final int MAX_TEXT_CHARACTERS = 1_000;
  private static final int MAX_REASON_CHARACTERS = 120;

  private static final JsonMapper JSON =
      JsonMapper.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

  /** A value is not valid; the message gives the reason in a bounded number of characters. */
  public static final class InvalidException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception; the reason is shortened if it is long. */
    public InvalidException(String reason) {
      super(
          reason.length() <= MAX_REASON_CHARACTERS
              ? reason
              : reason.substring(0, MAX_REASON_CHARACTERS));
    }
  }

  private final JsonNode node;

  private StoredValue(JsonNode node) {
    this.node = node;
  }

  /** Parses a value. */
  public static StoredValue parse(String text) throws InvalidException {
    if (text.length() > MAX_CHARACTERS) {
      throw new InvalidException("longer than " + MAX_CHARACTERS + " characters");
    }
    try {
      JsonNode node = JSON.readTree(text);
      if (node == null || !node.isObject()) {
        throw new InvalidException("not a JSON object");
      }
      return new StoredValue(node);
    } catch (JsonProcessingException e) {
      throw new InvalidException("not valid JSON: " + e.getOriginalMessage());
    }
  }

  /** Returns a text field, which is not empty and has only printable ASCII characters. */
  public String text(String name) throws InvalidException {
    JsonNode value = node.path(name);
    if (!value.isTextual() || !isPrintable(value.asText())) {
      throw new InvalidException("field " + name + " is not a printable text");
    }
    return value.asText();
  }

  /** Returns whether a text is not empty, not too long, and has only printable ASCII characters. */
  public static boolean isPrintable(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_TEXT_CHARACTERS
        && text.chars().allMatch(c -> c > ' ' && c < 0x7f);
  }

  /** Returns a whole number within a range. */
  public long number(String name, long min, long max) throws InvalidException {
    JsonNode value = node.path(name);
    if (!value.isIntegralNumber()
        || !value.canConvertToLong()
        || value.asLong() < min
        || value.asLong() > max) {
      throw new InvalidException(
          "field " + name + " is not a whole number from " + min + " to " + max);
    }
    return value.asLong();
  }

  /** Returns a whole number within a range, or a default if the field is missing or null. */
  public long number(String name, long min, long max, long missing) throws InvalidException {
    return has(name) ? number(name, min, max) : missing;
  }

  /** Returns a number within a range, whole or not. */
  public double decimal(String name, double min, double max) throws InvalidException {
    JsonNode value = node.path(name);
    if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
      throw new InvalidException("field " + name + " is not a number from " + min + " to " + max);
    }
    return value.asDouble();
  }

  /** Returns the texts of an array field, as {@link #text}; none if it is missing or null. */
  public List<String> texts(String name) throws InvalidException {
    JsonNode array = node.path(name);
    List<String> values = new ArrayList<>();
    if (has(name) && !array.isArray()) {
      throw new InvalidException("field " + name + " is not an array");
    }
    for (JsonNode each : array) {
      if (!each.isTextual() || !isPrintable(each.asText())) {
        throw new InvalidException("field " + name + " has an entry that is not a printable text");
      }
      values.add(each.asText());
    }
    return values;
  }

  /** Returns a truth value; false if the field is missing or null. */
  public boolean flag(String name) throws InvalidException {
    if (has(name) && !node.path(name).isBoolean()) {
      throw new InvalidException("field " + name + " is neither true nor false");
    }
    return node.path(name).asBoolean();
  }

  /** Returns an object field; an object without fields if it is missing or null. */
  public StoredValue object(String name) throws InvalidException {
    if (has(name) && !node.path(name).isObject()) {
      throw new InvalidException("field " + name + " is not an object");
    }
    return new StoredValue(node.path(name));
  }

  /** Returns the objects of an array field; none if it is missing or null. */
  public List<StoredValue> objects(String name) throws InvalidException {
    JsonNode array = node.path(name);
    if (has(name) && !array.isArray()) {
      throw new InvalidException("field " + name + " is not an array");
    }
    List<StoredValue> values = new ArrayList<>();
    for (JsonNode each : array) {
      if (!each.isObject()) {
        throw new InvalidException("field " + name + " contains something other than objects");
      }
      values.add(new StoredValue(each));
    }
    return values;
  }

  /** Returns whether a field exists and is not null. */
  public boolean has(String name) {
    return node.hasNonNull(name);
  }
}
