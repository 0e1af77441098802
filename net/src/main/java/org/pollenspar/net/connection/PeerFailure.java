package org.pollenspar.net.connection;

/** A peer did not answer. */
public final class PeerFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean maybeSent;

  /**
   * Creates the failure.
   *
   * @param maybeSent whether the request may have reached the peer; if false it certainly did not
   */
  public PeerFailure(String message, boolean maybeSent) {
    super(message);
    this.maybeSent = maybeSent;
  }

  /** Returns whether the request may have reached the peer. */
  public boolean maybeSent() {
    return maybeSent;
  }
}
