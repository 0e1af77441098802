package org.pollenspar.load.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.pollenspar.core.process.Closer;
import org.pollenspar.net.process.HttpService;
import org.pollenspar.net.request.HttpReply;

/**
 * Measures the heap that open connections retain. The client sockets are in the same process, so
 * their heap is included.
 */
final class IdleConnections {
  private static final int MAX_BODY_BYTES = 1024;
  private static final int THREADS = 2;
  private static final int POLL_MILLIS = 5;

  private IdleConnections() {}

  static double retainedBytes(int connections) {
    InetSocketAddress loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (Closer closer = new Closer()) {
      HttpService service =
          closer.register(
              new HttpService(
                  "capacity",
                  loopback,
                  MAX_BODY_BYTES,
                  Duration.ofMinutes(5),
                  THREADS,
                  call -> CompletableFuture.completedFuture(HttpReply.text(200, "ok"))));
      service.start();
      return ResourceMeter.retainedBytes(() -> open(service, connections));
    }
  }

  private static Closer open(HttpService service, int connections) {
    Closer sockets = new Closer();
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), service.port());
    int before = service.openConnections();
    try {
      for (int i = 0; i < connections; i++) {
        sockets.register(SocketChannel.open(address));
      }
      while (service.openConnections() < before + connections) {
        Thread.sleep(POLL_MILLIS);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return sockets;
  }
}
