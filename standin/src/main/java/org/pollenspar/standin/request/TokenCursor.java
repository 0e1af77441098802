package org.pollenspar.standin.request;

import java.util.List;
import org.pollenspar.standin.request.SqlLexer.Kind;
import org.pollenspar.standin.request.SqlLexer.Token;

/** Reads a list of tokens, which ends with an END token, from front to back. */
final class TokenCursor {
  private final List<Token> tokens;
  private int next;

  TokenCursor(List<Token> tokens) {
    this.tokens = tokens;
  }

  Token peek() {
    return tokens.get(next);
  }

  Token peekSecond() {
    return tokens.get(Math.min(next + 1, tokens.size() - 1));
  }

  Token take() {
    Token token = tokens.get(next);
    if (token.kind() != Kind.END) {
      next++;
    }
    return token;
  }

  boolean accept(String text) {
    if (peek().is(text)) {
      next++;
      return true;
    }
    return false;
  }

  void expect(String text) throws SqlException {
    if (!accept(text)) {
      throw unexpected();
    }
  }

  String name() throws SqlException {
    Token token = take();
    if (token.kind() != Kind.WORD && token.kind() != Kind.QUOTED) {
      throw unexpected(token);
    }
    return token.text();
  }

  String qualifiedName() throws SqlException {
    String name = name();
    while (accept(".")) {
      name = name + "." + name();
    }
    return name;
  }

  long integer() throws SqlException {
    boolean negative = accept("-");
    Token token = take();
    if (token.kind() != Kind.NUMBER && token.kind() != Kind.STRING) {
      throw unexpected(token);
    }
    if (!(ColumnType.INT8.parse(token.text()) instanceof Long value)) {
      throw unexpected(token);
    }
    return negative ? -value : value;
  }

  boolean atStatementEnd() {
    return peek().kind() == Kind.END || peek().is(";");
  }

  SqlException unexpected() {
    return unexpected(peek());
  }

  private static SqlException unexpected(Token token) {
    String location = token.kind() == Kind.END ? "end of input" : "\"" + token.text() + "\"";
    return new SqlException("42601", "syntax error at or near " + location);
  }
}
