package org.pollenspar.net.process;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads required fields of JSON objects; the error messages name the field. */
final class JsonFields {
  private JsonFields() {}

  static String text(JsonNode node, String field) {
    JsonNode value = node.required(field);
    if (!value.isTextual()) {
      throw new IllegalArgumentException("field \"" + field + "\" is not a string: " + value);
    }
    return value.textValue();
  }

  static long number(JsonNode node, String field) {
    JsonNode value = node.required(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new IllegalArgumentException("field \"" + field + "\" is not a number: " + value);
    }
    return value.longValue();
  }
}
