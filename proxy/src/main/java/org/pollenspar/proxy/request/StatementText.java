package org.pollenspar.proxy.request;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Checks that a text is a single SQL statement that can neither end the proxy's transaction nor
 * make the statements that the proxy appends part of a comment or literal.
 *
 * <p>A caller's statements and the proxy's own are sent as one simple query. A semicolon, comment,
 * dollar quote or escape string could move the boundary between them. These are refused outside of
 * plain literals instead of being parsed, because a parser written here could differ from that of
 * the database. Names in the schema of the idempotency records are refused as well.
 */
public final class StatementText {
  private static final Set<String> READ_WORDS = Set.of("select");
  private static final Set<String> WRITE_WORDS =
      Set.of(
          "select",
          "insert",
          "update",
          "delete",
          "merge",
          "with",
          "create",
          "alter",
          "drop",
          "truncate");

  private static final String OWN_SCHEMA = "pollenspar";
  private static final String OWN_SCHEMA_FAULT = "names the reserved schema pollenspar";

  private StatementText() {}

  /** Returns whether the statement starts with SELECT. */
  public static boolean isSelect(String sql) {
    return READ_WORDS.contains(firstWord(sql));
  }

  /** Returns why the text is not acceptable as one statement; empty if it is. */
  public static Optional<String> fault(String sql) {
    String word = firstWord(sql);
    if (word.isEmpty()) {
      return Optional.of("must start with an SQL command");
    }
    if (!WRITE_WORDS.contains(word)) {
      return Optional.of(
          "command " + word.toUpperCase(Locale.ROOT) + " is not allowed in a request");
    }
    return scan(sql);
  }

  private static String firstWord(String sql) {
    String text = sql.strip();
    int end = 0;
    while (end < text.length() && Character.isLetter(text.charAt(end))) {
      end++;
    }
    return text.substring(0, end).toLowerCase(Locale.ROOT);
  }

  private static Optional<String> scan(String sql) {
    int i = 0;
    while (i < sql.length()) {
      char c = sql.charAt(i);
      if (c == '\'' || c == '"') {
        int end = closingQuote(sql, i);
        if (end < 0) {
          return Optional.of("a quote is not closed");
        }
        if (c == '"' && sql.substring(i + 1, end).equalsIgnoreCase(OWN_SCHEMA)) {
          return Optional.of(OWN_SCHEMA_FAULT);
        }
        if (sql.substring(i, end).indexOf('\\') >= 0) {
          return Optional.of("a literal contains a backslash; escape strings are not accepted");
        }
        i = end;
      } else {
        Optional<String> fault = faultAt(sql, i);
        if (fault.isPresent()) {
          return fault;
        }
      }
      i++;
    }
    return Optional.empty();
  }

  private static Optional<String> faultAt(String sql, int i) {
    if (sql.regionMatches(true, i, OWN_SCHEMA + ".", 0, OWN_SCHEMA.length() + 1)) {
      return Optional.of(OWN_SCHEMA_FAULT);
    }
    return switch (sql.charAt(i)) {
      case ';' -> Optional.of("contains a semicolon; send one statement per entry");
      case '$' -> Optional.of("contains a dollar sign outside a literal");
      case '\0' -> Optional.of("contains a NUL character");
      case '-' -> startsWith(sql, i, "--") ? Optional.of("contains a comment") : Optional.empty();
      case '/' -> startsWith(sql, i, "/*") ? Optional.of("contains a comment") : Optional.empty();
      default -> Optional.empty();
    };
  }

  private static boolean startsWith(String sql, int i, String prefix) {
    return sql.startsWith(prefix, i);
  }

  /**
   * Returns the index of the quote that closes the one at {@code start}; -1 if it is not closed or
   * the literal contains a NUL character.
   */
  private static int closingQuote(String sql, int start) {
    char quote = sql.charAt(start);
    int i = start + 1;
    while (i < sql.length()) {
      if (sql.charAt(i) == '\0') {
        return -1;
      }
      if (sql.charAt(i) == quote) {
        boolean doubled = i + 1 < sql.length() && sql.charAt(i + 1) == quote;
        if (!doubled) {
          return i;
        }
        i++;
      }
      i++;
    }
    return -1;
  }
}
