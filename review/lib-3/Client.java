import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** One session of a client. */
final class Client implements AutoCloseable {
  private static final AtomicLong NEXT_ID = new AtomicLong(1);
  final Socket socket = new Socket();
  private final InputStream in;
  private final OutputStream out;

  record Answer(List<String> rows, String result, String ready) {
    boolean ok() {
      return result.startsWith("COMPLETE");
    }
  }

  Client(int port, String database, int timeoutMillis) throws IOException {
    socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
    send("START " + database + " u" + NEXT_ID.get());
    String line = read();
    if (!line.startsWith("READY")) {
      socket.close();
      throw new IOException("START: " + line);
    }
  }

  static String nextId() {
    return "q" + NEXT_ID.getAndIncrement();
  }

  private void send(String line) throws IOException {
    out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private String read() throws IOException {
    String line = Database.readLine(in);
    if (line == null) {
      throw new IOException("the connection ended");
    }
    return line;
  }

  void begin(String id, String text) throws IOException {
    send("QUERY " + id + " " + text);
  }

  Answer await() throws IOException {
    List<String> rows = new ArrayList<>();
    String result = "";
    for (String line = read(); ; line = read()) {
      if (line.startsWith("DATAROW ")) {
        rows.add(line.substring(8));
      } else if (line.startsWith("READY ")) {
        return new Answer(rows, result, line);
      } else {
        result = line;
      }
    }
  }

  Answer query(String text) throws IOException {
    begin(nextId(), text);
    return await();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
