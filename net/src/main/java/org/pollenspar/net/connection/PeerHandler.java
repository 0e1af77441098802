package org.pollenspar.net.connection;

import java.util.concurrent.CompletionStage;
import org.pollenspar.wire.Envelope;

/** Answers requests of other processes. Called on a network thread; must not block. */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Answers a request.
   *
   * @param request message with one of the request bodies
   * @return the response body in an envelope builder; request id, clock and sender are filled in by
   *     the transport
   */
  CompletionStage<Envelope.Builder> handle(Envelope request);
}
