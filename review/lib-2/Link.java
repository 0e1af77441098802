import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** A path of TCP connections to one address, which can hold back what is sent over it. */
final class Link implements AutoCloseable {
  private final ServerSocket listener;
  private final int target;
  private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();

  /** Names, of what arrives from the near end, what is held back; null for nothing. */
  volatile Predicate<String> hold;

  /** For how long it is held back. */
  volatile long holdMillis;

  Link(int listenPort, int targetPort) throws IOException {
    target = targetPort;
    listener = new ServerSocket(listenPort, 200, InetAddress.getLoopbackAddress());
    Case.background("link", this::accept);
  }

  private void accept() {
    try {
      while (true) {
        Socket near = listener.accept();
        Case.background("pipe", () -> open(near));
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private void open(Socket near) {
    Socket far = new Socket();
    try {
      near.setTcpNoDelay(true);
      far.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target), 1_000);
      far.setTcpNoDelay(true);
    } catch (IOException e) {
      reset(near);
      return;
    }
    Pipe pipe = new Pipe(near, far);
    pipes.add(pipe);
    Case.background("to", () -> pipe.copy(near, far, true));
    Case.background("from", () -> pipe.copy(far, near, false));
  }

  /** Lets all present connections go silent for good, without a reset; new ones work. */
  void silence() {
    pipes.forEach(each -> each.silent = true);
  }

  /**
   * Ends the silent connections over which nothing was sent since: the keep-alive probes of either
   * end would have done so by now.
   */
  void endIdleSilent() {
    for (Pipe each : pipes) {
      if (each.silent && !each.sentInSilence) {
        each.end();
      }
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    pipes.forEach(Pipe::end);
  }

  private final class Pipe {
    private final Socket near;
    private final Socket far;
    volatile boolean silent;
    volatile boolean sentInSilence;

    Pipe(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }

    void copy(Socket from, Socket to, boolean outwards) {
      byte[] buffer = new byte[65_536];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
          Predicate<String> held = hold;
          if (outwards
              && held != null
              && held.test(new String(buffer, 0, count, StandardCharsets.ISO_8859_1))) {
            Case.pause(holdMillis);
          }
          if (silent) {
            sentInSilence = true;
          } else {
            out.write(buffer, 0, count);
          }
        }
        if (!silent) {
          to.shutdownOutput();
        }
      } catch (IOException e) {
        if (!silent) {
          end();
        }
      }
    }

    void end() {
      pipes.remove(this);
      reset(near);
      reset(far);
    }
  }
}
