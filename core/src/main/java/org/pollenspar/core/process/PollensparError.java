package org.pollenspar.core.process;

/**
 * An occurrence of an {@link ErrorKind} with its complete message. Methods that may fail return it
 * as the left side of their result.
 *
 * @param kind what went wrong
 * @param message the formatted message with the remedy
 */
public record PollensparError(ErrorKind kind, String message) {

  public static PollensparError of(ErrorKind kind, Object... arguments) {
    return new PollensparError(kind, kind.message(arguments));
  }

  public PollensparException asException() {
    return new PollensparException(this);
  }
}
