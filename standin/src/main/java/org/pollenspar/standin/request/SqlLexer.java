package org.pollenspar.standin.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Splits a query string into tokens. Comments and white space are skipped, but a comment {@code
 * owner=...}, which names the caller of a statement, becomes a token.
 */
final class SqlLexer {
  private static final Pattern TOKEN =
      Pattern.compile(
          "(?<space>\\s+|--[^\\n]*)"
              + "|/\\*(?<comment>.*?)\\*/"
              + "|[eE]?'(?<string>(?:[^']++|'')*+)'"
              + "|(?<number>\\d+(?:\\.\\d+)?)"
              + "|\"(?<quoted>[^\"]+)\""
              + "|(?<word>[\\p{L}_][\\p{L}\\p{N}_$]*)"
              + "|(?<symbol>::|<>|!=|<=|>=|\\|\\||[-+*=<>(),;.])",
          Pattern.DOTALL);
  private static final Pattern OWNER = Pattern.compile("\\s*owner\\s*=\\s*(\\S+)\\s*");

  private SqlLexer() {}

  /** Kind of a token; OWNER is a comment {@code owner=...}, END follows the last token. */
  enum Kind {
    WORD,
    QUOTED,
    STRING,
    NUMBER,
    SYMBOL,
    OWNER,
    END
  }

  /** A token; unquoted words are converted to lower case. */
  record Token(Kind kind, String text) {
    boolean is(String expected) {
      return (kind == Kind.WORD || kind == Kind.SYMBOL) && text.equals(expected);
    }
  }

  static List<Token> tokens(String sql) throws SqlException {
    List<Token> tokens = new ArrayList<>();
    Matcher matcher = TOKEN.matcher(sql);
    int offset = 0;
    while (offset < sql.length()) {
      if (!matcher.region(offset, sql.length()).lookingAt()) {
        throw new SqlException("42601", "syntax error at character " + (offset + 1));
      }
      addToken(matcher, tokens);
      offset = matcher.end();
    }
    tokens.add(new Token(Kind.END, ""));
    return tokens;
  }

  private static void addToken(Matcher matcher, List<Token> tokens) {
    if (matcher.group("string") != null) {
      tokens.add(new Token(Kind.STRING, matcher.group("string").replace("''", "'")));
    } else if (matcher.group("number") != null) {
      tokens.add(new Token(Kind.NUMBER, matcher.group("number")));
    } else if (matcher.group("quoted") != null) {
      tokens.add(new Token(Kind.QUOTED, matcher.group("quoted")));
    } else if (matcher.group("word") != null) {
      tokens.add(new Token(Kind.WORD, matcher.group("word").toLowerCase(Locale.ROOT)));
    } else if (matcher.group("symbol") != null) {
      tokens.add(new Token(Kind.SYMBOL, matcher.group("symbol")));
    } else if (matcher.group("comment") != null) {
      Matcher owner = OWNER.matcher(matcher.group("comment"));
      if (owner.matches()) {
        tokens.add(new Token(Kind.OWNER, owner.group(1)));
      }
    }
  }
}
