package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A TCP proxy that stands for the link between two machines. While the link is cut, bytes in both
 * directions are held up, also an orderly end of a connection; a reset by a sender loses them.
 */
final class Link {
  private final ServerSocket listener;
  private final int target;
  private boolean cut;

  Link(int target) throws IOException {
    this.target = target;
    listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    daemon("link", this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  synchronized void cut(boolean newCut) {
    cut = newCut;
    notifyAll();
  }

  private synchronized void awaitOpen() throws InterruptedException {
    while (cut) {
      wait();
    }
  }

  static void daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (true) {
      try {
        Socket near = listener.accept();
        near.setTcpNoDelay(true);
        daemon("link", () -> serve(near));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket near) {
    try {
      awaitOpen();
      Socket far = new Socket(InetAddress.getLoopbackAddress(), target);
      far.setTcpNoDelay(true);
      daemon("link", () -> copy(near, far));
      copy(far, near);
    } catch (IOException | InterruptedException e) {
      close(near);
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[1 << 16];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int n = in.read(buffer);
      while (n >= 0) {
        awaitOpen();
        out.write(buffer, 0, n);
        n = in.read(buffer);
      }
      awaitOpen();
      to.shutdownOutput();
    } catch (IOException | InterruptedException e) {
      close(from);
      close(to);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Already closed.
    }
  }
}
