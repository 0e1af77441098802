package org.pollenspar.core.process;

/**
 * One occurrence of an {@link ErrorKind} with its complete message; the left side of results.
 *
 * @param kind what went wrong
 * @param message the formatted message with the remedy
 */
public record PollensparError(ErrorKind kind, String message) {

  /** Formats the message of {@code kind} with the arguments. */
  public static PollensparError of(ErrorKind kind, Object... arguments) {
    return new PollensparError(kind, kind.message(arguments));
  }

  /** Returns an exception that carries this error. */
  public PollensparException asException() {
    return new PollensparException(this);
  }
}
