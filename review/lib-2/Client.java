import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A client's session: one connection over the wire protocol, one request at a time. */
final class Client implements AutoCloseable {
  private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffffL);
  private final Socket socket = new Socket();
  private final InputStream in;
  private final String name;

  /** An answer: its DATAROW lines, then its COMPLETE or ERROR line, and the state. */
  record Answer(String id, List<String> rows, String result, String state) {
    boolean ok() {
      return result.startsWith("COMPLETE");
    }

    @Override
    public String toString() {
      return (rows.isEmpty() ? "" : rows + " ") + result + " | " + state;
    }
  }

  Client(String name, int port, String database) throws IOException {
    this.name = name;
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(10_000);
    in = new BufferedInputStream(socket.getInputStream());
    send("START " + database + " u1");
    String greeting = readLine(in);
    if (greeting == null || !greeting.startsWith("READY")) {
      socket.close();
      throw new IOException("START was answered by " + greeting);
    }
  }

  private void send(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Sends a statement under a new id and returns its answer. */
  Answer query(String text) throws IOException {
    Answer answer = quietQuery(text);
    Case.note("client " + name + ": QUERY " + answer.id() + " " + text + "  ->  " + answer);
    return answer;
  }

  /** As {@link #query}, without an entry in the record. */
  Answer quietQuery(String text) throws IOException {
    String id = "c" + Long.toHexString(IDS.incrementAndGet());
    send("QUERY " + id + " " + text);
    List<String> rows = new ArrayList<>();
    String line = readLine(in);
    while (line != null && line.startsWith("DATAROW ")) {
      rows.add(line.substring("DATAROW ".length()));
      line = readLine(in);
    }
    String ready = line == null ? null : readLine(in);
    if (ready == null) {
      throw new IOException("the connection ended without a complete answer to " + id);
    }
    return new Answer(id, rows, line, ready);
  }

  /** Reads a line that CR LF ends; null at the end of the stream. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int previous = -1;
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (previous == '\r' && next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.substring(0, text.length() - 1);
      }
      line.write(next);
      previous = next;
    }
    return null;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
