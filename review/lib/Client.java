package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A client's session: one connection, one request at a time. */
final class Client implements AutoCloseable {
  private static final int ANSWER_TIMEOUT_MS = 5_000;

  /** A complete answer: its rows, the COMPLETE or ERROR line, and the READY line. */
  record Answer(List<String> rows, String result, String ready) {
    boolean ok() {
      return result.startsWith("COMPLETE");
    }
  }

  private final Socket socket;
  private final InputStream in;
  private final OutputStream out;
  private final Record record;

  Client(int port, String database, Record record) throws IOException {
    this.record = record;
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(ANSWER_TIMEOUT_MS);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
    Group.send(out, "START " + database + " u1\r\n");
    String line = Group.readLine(in);
    if (line == null || !line.startsWith("READY I")) {
      throw new IOException("START was answered with " + line);
    }
  }

  /** Sends a request and returns its answer. */
  Answer query(String id, String text) throws IOException {
    record.line("sent " + id + ": " + Group.printable(text));
    Group.send(out, "QUERY " + id + " " + text + "\r\n");
    List<String> rows = new ArrayList<>();
    String result = "";
    while (true) {
      String line = Group.readLine(in);
      if (line == null) {
        throw new IOException("the connection ended without a complete answer");
      }
      if (line.startsWith("DATAROW")) {
        rows.add(line.substring(Math.min(line.length(), 8)));
      } else if (line.startsWith("READY")) {
        Answer answer = new Answer(rows, result, line);
        record.line("answered " + id + ": " + rows + " " + result + ", " + line);
        return answer;
      } else {
        result = line;
      }
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Already closed.
    }
  }
}
