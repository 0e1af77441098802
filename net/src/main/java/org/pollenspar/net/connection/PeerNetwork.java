package org.pollenspar.net.connection;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.pollenspar.wire.Envelope;

/**
 * Sends requests to other processes and matches the responses by request id.
 *
 * <p>A response is dropped and counted if no request with its id waits, so that a late or misrouted
 * response never completes another request.
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

  /** Returns how many responses were dropped because no request waited for them. */
  long droppedResponses();

  @Override
  void close();
}
