package org.pollenspar.proxy.connection;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.pollenspar.core.process.Closer;

/** A TCP relay in front of a database that can delay or alter the database's answers. */
final class FaultyRelay implements AutoCloseable {
  /** Replaces the nonce in answers, as if they belonged to another request. */
  volatile boolean replaceNonces;

  /** Stops answers in the middle; they continue when the flag is cleared. */
  volatile boolean stalled;

  private final Closer closer = new Closer();
  private final ServerSocket listener;
  private final int target;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  FaultyRelay(int target) {
    this.target = target;
    try {
      listener = closer.register(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Returns the number of relayed connections that are open. */
  long open() {
    return sockets.stream().filter(socket -> !socket.isClosed()).count() / 2;
  }

  private static void start(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // The connection or the relay was closed; the thread ends.
              }
            },
            "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() throws IOException {
    while (true) {
      Socket caller = listener.accept();
      Socket database = new Socket(InetAddress.getLoopbackAddress(), target);
      sockets.add(caller);
      sockets.add(database);
      start(() -> copy(caller, database, false));
      start(() -> copy(database, caller, true));
    }
  }

  private void copy(Socket from, Socket to, boolean answers)
      throws IOException, InterruptedException {
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[65_536];
      for (int read = in.read(buffer); read > 0; read = in.read(buffer)) {
        byte[] bytes = answers && replaceNonces ? withForeignNonce(buffer, read) : buffer;
        int half = answers && stalled ? read / 2 : 0;
        out.write(bytes, 0, half);
        out.flush();
        while (answers && stalled) {
          Thread.sleep(5);
        }
        out.write(bytes, half, read - half);
        out.flush();
      }
    }
  }

  private static byte[] withForeignNonce(byte[] buffer, int length) {
    return new String(buffer, 0, length, StandardCharsets.ISO_8859_1)
        .replace("nonce-", "other-")
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() {
    closer.close();
    for (Socket socket : sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** The loop of one thread: one direction of a connection, or the listener. */
  @FunctionalInterface
  private interface IoTask {
    void run() throws IOException, InterruptedException;
  }
}
