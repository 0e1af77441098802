package org.pollenspar.core.process;

/** Carries a {@link PollensparError} where a result type cannot be used. */
public final class PollensparException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient PollensparError error;

  /** Creates the exception with the error's message. */
  public PollensparException(PollensparError error) {
    super(error.message());
    this.error = error;
  }

  /** Returns the error. */
  public PollensparError error() {
    return error;
  }
}
