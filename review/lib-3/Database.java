import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of one database, after PROTOCOL.md: slots with a bounded queue, a connection limit, a
 * log with terms and numbers, replicas that apply commits later, WAITLSN, STATUS, STEPDOWN.
 */
final class Database {
  static final class Item {
    final String value;
    final long number;

    Item(String value, long number) {
      this.value = value;
      this.number = number;
    }
  }

  /** One commit of the log. */
  record Commit(long term, long number, Map<String, String> writes) {}

  final String id;
  final String service;
  final Group group;
  final ServerSocket socket;
  final int port;
  final List<Commit> log = new ArrayList<>();
  final Map<String, String> items = new HashMap<>();
  final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  final Semaphore slots;
  final AtomicInteger waiting = new AtomicInteger();
  final AtomicInteger ran = new AtomicInteger();
  boolean primary;
  long term = 1;
  volatile boolean dark;
  volatile boolean down;

  /** The databases of one service. */
  static final class Group {
    final String service;
    final List<Database> all = new ArrayList<>();
    int slotCount = 3;
    int queue = 24;
    int maxConnections = 88;
    double workMillis = 5;
    long lagMillis = 60;
    long handshakeMillis = 12;
    final Record record;

    Group(String service, Record record) {
      this.service = service;
      this.record = record;
    }

    synchronized Database primary() {
      return all.stream().filter(each -> each.primary && !each.down).findFirst().orElse(null);
    }

    /** Makes a database the primary of the next term, some hundred milliseconds later. */
    boolean promote(String id) {
      Database chosen = null;
      for (Database each : all) {
        if (each.id.equals(id) && !each.down) {
          chosen = each;
        }
      }
      if (chosen == null || chosen.dark) {
        return false;
      }
      synchronized (this) {
        if (chosen.primary) {
          return true;
        }
      }
      Database next = chosen;
      new Thread(
              () -> {
                sleep(300);
                synchronized (this) {
                  long newest = all.stream().mapToLong(each -> each.term).max().orElse(1);
                  for (Database each : all) {
                    if (each != next) {
                      each.primary = false;
                    }
                    each.term = newest + 1;
                  }
                  next.primary = true;
                  record.line(next.id + " leads term " + next.term);
                }
              })
          .start();
      return true;
    }
  }

  Database(String id, Group group, boolean primary) throws IOException {
    this.id = id;
    this.group = group;
    this.service = group.service;
    this.primary = primary;
    this.slots = new Semaphore(group.slotCount, true);
    this.socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    this.port = socket.getLocalPort();
    group.all.add(this);
    start("accept-" + id, this::accept);
  }

  static void start(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 256 << 10);
    thread.setDaemon(true);
    thread.start();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Silent from now on: nothing is answered, and connections stay open. */
  void goDark() {
    dark = true;
  }

  void awaitLight() {
    while (dark) {
      sleep(20);
    }
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        start("serve-" + id, () -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream(), 1 << 16);
      OutputStream out = connection.getOutputStream();
      Session session = new Session();
      String line = readLine(in);
      while (line != null && !line.equals("TERMINATE")) {
        awaitLight();
        String answer = line.startsWith("START ") ? session.open(line) : session.handle(line);
        awaitLight();
        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        if (session.refused) {
          return;
        }
        line = readLine(in);
      }
    } catch (IOException e) {
      // The connection ended; an open transaction is dropped with its session.
    } finally {
      connections.remove(connection);
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    int last = -1;
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (last == '\r' && next == '\n') {
        byte[] bytes = line.toByteArray();
        return new String(bytes, 0, bytes.length - 1, StandardCharsets.ISO_8859_1);
      }
      line.write(next);
      last = next;
    }
    return null;
  }

  /** Closes the port and all connections: the process has crashed. */
  void crash() throws IOException {
    down = true;
    socket.close();
    for (Socket each : connections) {
      each.close();
    }
  }

  String position() {
    synchronized (group) {
      return log.isEmpty()
          ? term + ".0"
          : Math.max(term, log.get(log.size() - 1).term()) + "." + log.size();
    }
  }

  private final class Session {
    final Map<String, String> prepared = new HashMap<>();
    final Map<String, String> uncommitted = new HashMap<>();
    boolean open;
    boolean failed;
    boolean refused;

    String open(String line) {
      String[] fields = line.split(" ");
      if (!fields[1].equals(service) || (fields.length > 3 && !fields[3].equals(id))) {
        refused = true;
        return "ERROR WRONGNODE " + id + "\r\n";
      }
      if (connections.size() > group.maxConnections) {
        refused = true;
        return "ERROR CONNLIMIT " + id + "\r\n";
      }
      sleep(group.handshakeMillis);
      return "READY I " + position() + "\r\n";
    }

    String state() {
      return failed ? "E" : open ? "T" : "I";
    }

    String handle(String line) {
      String[] parts = line.split(" ", 3);
      String result;
      if (parts.length < 3 || !parts[0].equals("QUERY")) {
        result = "ERROR MALFORMED " + id;
      } else {
        result = text(parts[1], parts[2]);
      }
      return result + "\r\nREADY " + state() + " " + position() + "\r\n";
    }

    private String text(String statement, String text) {
      String rest = text;
      if (rest.startsWith("WAITLSN ")) {
        String[] words = rest.split(" ", 3);
        String[] needed = words[1].split("\\.");
        synchronized (group) {
          if (Long.parseLong(needed[0]) > term || Long.parseLong(needed[1]) > log.size()) {
            return "ERROR LAGGING " + id;
          }
        }
        rest = words[2];
      }
      String word = rest.split(" ", 2)[0];
      if (failed && !word.equals("ROLLBACK") && !word.equals("COMMIT")) {
        return "ERROR MALFORMED " + id;
      }
      switch (word) {
        case "READ", "WRITE", "EXECUTE", "COMMIT" -> {
          return inSlot(statement, rest);
        }
        case "STATUS" -> {
          return status();
        }
        case "STEPDOWN" -> {
          synchronized (group) {
            if (Long.parseLong(rest.split(" ")[1]) > term) {
              primary = false;
            }
          }
          return status();
        }
        case "BEGIN" -> {
          synchronized (group) {
            if (!primary && !rest.equals("BEGIN READ")) {
              return "ERROR READONLY " + id;
            }
          }
          open = true;
          return "COMPLETE -";
        }
        case "ROLLBACK" -> {
          open = false;
          failed = false;
          uncommitted.clear();
          return "COMPLETE -";
        }
        case "SET" -> {
          return "COMPLETE -";
        }
        case "PARSE" -> {
          String[] words = rest.split(" ", 4);
          // Only the kind is needed to run it; the shape isn't kept.
          prepared.put(words[1], words[2]);
          return "COMPLETE -";
        }
        case "CLOSE" -> {
          prepared.remove(rest.split(" ")[1]);
          return "COMPLETE -";
        }
        case "DISCARD" -> {
          prepared.clear();
          return "COMPLETE -";
        }
        default -> {
          return "ERROR MALFORMED " + word;
        }
      }
    }

    private String inSlot(String statement, String text) {
      if (!slots.tryAcquire()) {
        if (waiting.incrementAndGet() > group.queue) {
          waiting.decrementAndGet();
          failed = open;
          return "ERROR BUSY " + id;
        }
        slots.acquireUninterruptibly();
        waiting.decrementAndGet();
      }
      try {
        sleep(Math.round(group.workMillis));
        awaitLight();
        return run(statement, text);
      } finally {
        slots.release();
      }
    }

    private String run(String statement, String text) {
      String[] words = text.split(" ", 4);
      ran.incrementAndGet();
      switch (words[0]) {
        case "READ" -> {
          return read(statement, words[1]);
        }
        case "WRITE" -> {
          return write(statement, words[1], words[2]);
        }
        case "EXECUTE" -> {
          String kind = prepared.get(words[1]);
          if (kind == null) {
            failed = open;
            return "ERROR NOSTMT " + words[1];
          }
          return kind.equals("WRITE")
              ? write(statement, words[2], words[3])
              : read(statement, words[2]);
        }
        default -> {
          synchronized (group) {
            if (!primary && !uncommitted.isEmpty()) {
              open = false;
              uncommitted.clear();
              return "ERROR READONLY " + id;
            }
          }
          commit(statement);
          open = false;
          return "COMPLETE " + id + "." + statement;
        }
      }
    }

    private String read(String statement, String item) {
      synchronized (group) {
        String value = uncommitted.getOrDefault(item, items.getOrDefault(item, "none"));
        if (item.startsWith("report")) {
          int rows = Integer.parseInt(item.substring(6));
          String row = "DATAROW " + "r".repeat(1000) + "\r\n";
          return row.repeat(rows) + "COMPLETE " + id + "." + statement;
        }
        return "DATAROW " + value + "\r\nCOMPLETE " + id + "." + statement;
      }
    }

    private String write(String statement, String item, String data) {
      synchronized (group) {
        if (!primary) {
          failed = open;
          return "ERROR READONLY " + id;
        }
        uncommitted.put(item, data);
        if (!open) {
          commit(statement);
        }
        return "COMPLETE " + id + "." + statement;
      }
    }

    private void commit(String statement) {
      if (uncommitted.isEmpty()) {
        return;
      }
      Map<String, String> writes = Map.copyOf(uncommitted);
      uncommitted.clear();
      synchronized (group) {
        Commit commit = new Commit(term, log.size() + 1L, writes);
        log.add(commit);
        items.putAll(writes);
      }
      start(
          "replicate",
          () -> {
            sleep(group.lagMillis);
            synchronized (group) {
              for (Database each : group.all) {
                if (each != Database.this && each.primary == false && !each.dark) {
                  each.catchUp(Database.this);
                }
              }
            }
          });
    }
  }

  private void catchUp(Database from) {
    for (int i = log.size(); i < from.log.size(); i++) {
      Commit commit = from.log.get(i);
      log.add(commit);
      items.putAll(commit.writes());
    }
  }

  private String status() {
    synchronized (group) {
      return "DATAROW "
          + (primary ? "primary" : "replica")
          + " "
          + term
          + " "
          + position()
          + " 0 0 0 "
          + connections.size()
          + "\r\nCOMPLETE -";
    }
  }
}
