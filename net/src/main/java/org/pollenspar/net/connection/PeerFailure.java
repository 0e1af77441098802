package org.pollenspar.net.connection;

/** A request to a peer got no response. */
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

  public boolean maybeSent() {
    return maybeSent;
  }
}
