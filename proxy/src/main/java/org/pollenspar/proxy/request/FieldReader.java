package org.pollenspar.proxy.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.PollensparException;
import org.pollenspar.core.version.NearestName;

/**
 * Reads typed fields of a JSON object. An unknown, missing or invalid field causes a {@link
 * PollensparException} whose message contains the path of the field; {@link WorkParser} converts
 * the exception to a result.
 */
final class FieldReader {
  private final String prefix;
  private final JsonNode node;

  /**
   * Creates a reader.
   *
   * @param prefix path of the object; empty for the body
   * @param node the object
   * @param known names of the fields that are allowed
   */
  FieldReader(String prefix, JsonNode node, Collection<String> known) {
    this.prefix = prefix;
    this.node = node;
    if (!node.isObject()) {
      throw invalid(prefix.isEmpty() ? "body" : prefix, "must be an object");
    }
    for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!known.contains(name)) {
        throw invalid(path(name), "unknown field" + NearestName.suggestion(name, known));
      }
    }
  }

  String requiredText(String name, int maxLength) {
    return text(name, maxLength)
        .orElseThrow(() -> invalid(path(name), "is required and must be a string"));
  }

  Optional<String> text(String name, int maxLength) {
    return value(name).map(field -> checkedText(path(name), field, maxLength));
  }

  boolean flag(String name) {
    return value(name)
        .map(
            field -> {
              if (!field.isBoolean()) {
                throw invalid(path(name), "must be true or false");
              }
              return field.booleanValue();
            })
        .orElse(false);
  }

  long integer(String name, long whenAbsent, long min, long max) {
    return value(name)
        .map(
            field -> {
              boolean inRange =
                  field.isIntegralNumber()
                      && field.canConvertToLong()
                      && field.longValue() >= min
                      && field.longValue() <= max;
              if (!inRange) {
                throw invalid(path(name), "must be an integer from " + min + " to " + max);
              }
              return field.longValue();
            })
        .orElse(whenAbsent);
  }

  /** Returns the strings of an array, or a single string as a list of one. */
  List<String> textOrTexts(String name, int maxCount, int maxLength) {
    JsonNode field = value(name).orElseThrow(() -> invalid(path(name), "is required"));
    if (!field.isArray()) {
      return List.of(checkedText(path(name), field, maxLength));
    }
    List<String> texts = new ArrayList<>();
    for (JsonNode element : elements(name, maxCount)) {
      texts.add(checkedText(path(name) + "[" + texts.size() + "]", element, maxLength));
    }
    return texts;
  }

  List<JsonNode> elements(String name, int maxCount) {
    JsonNode field = value(name).orElseThrow(() -> invalid(path(name), "is required"));
    if (!field.isArray() || field.isEmpty() || field.size() > maxCount) {
      throw invalid(path(name), "must be an array of 1 to " + maxCount + " elements");
    }
    List<JsonNode> elements = new ArrayList<>();
    field.forEach(elements::add);
    return elements;
  }

  private String checkedText(String path, JsonNode field, int maxLength) {
    if (!field.isTextual()) {
      throw invalid(path, "must be a string");
    }
    String text = field.textValue();
    if (text.isBlank() || text.length() > maxLength || text.indexOf('\0') >= 0) {
      throw invalid(path, "must have 1 to " + maxLength + " characters, not blank, without NUL");
    }
    return text;
  }

  private Optional<JsonNode> value(String name) {
    return Optional.ofNullable(node.get(name)).filter(field -> !field.isNull());
  }

  private String path(String name) {
    return prefix.isEmpty() ? name : prefix + "." + name;
  }

  static PollensparException invalid(String path, String fault) {
    return PollensparError.of(ErrorKind.INVALID_FIELD, path, fault).asException();
  }
}
