package org.pollenspar.net.connection;

/** A peer did not answer. */
public final class PeerFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean sent;

  /**
   * Creates the failure.
   *
   * @param sent whether the request may have reached the peer; if false it certainly did not
   */
  public PeerFailure(String message, boolean sent) {
    super(message);
    this.sent = sent;
  }

  /** Returns whether the request may have reached the peer. */
  public boolean sent() {
    return sent;
  }
}
