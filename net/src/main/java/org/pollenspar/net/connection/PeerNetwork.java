package org.pollenspar.net.connection;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.pollenspar.wire.Envelope;

/**
 * Requests to other processes, matched to their responses by request id.
 *
 * <p>A response whose id is not waited for is counted and dropped, so a late or crossed answer
 * never reaches another caller.
 */
public interface PeerNetwork extends AutoCloseable {

  /**
   * Sends a request.
   *
   * @return the response; fails with a {@link PeerFailure}
   */
  CompletableFuture<Envelope> request(PeerAddress to, Envelope.Builder body, Duration timeout);

  /** Returns the port on which requests are received; 0 if none. */
  int port();

  /** Returns how many responses were dropped because nobody waited for them. */
  long droppedResponses();

  @Override
  void close();
}
