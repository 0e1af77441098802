package org.pollenspar.core.process;

/** Carries a {@link PollensparError} where a result type cannot be used. */
public final class PollensparException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient PollensparError error;

  public PollensparException(PollensparError error) {
    super(error.message());
    this.error = error;
  }

  public PollensparError error() {
    return error;
  }
}
