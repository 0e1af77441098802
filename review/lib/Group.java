package review;

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

/**
 * Stand-in of a database service: a primary and its replicas, with the wire protocol of
 * PROTOCOL.md. Lines end with CR LF. Each commit that writes gets the next number; replicas apply
 * it later. All databases of a group share one lock, and one log in order of the commits.
 */
final class Group {
  private static final long HANDSHAKE_MS = 12;
  private static final long WORK_MS = 5;
  private static final long PROMOTE_MS = 600;
  private static final long HEARTBEAT_MS = 1_200;

  /** A statement of a client that a database ran. */
  record Run(
      long atMillis, String database, String id, String text, long term, long applied, String row) {}

  /** A commit that wrote: its number in the log and the statement's id. */
  record Commit(String id, long term, long number, Map<String, String> writes) {}

  final String service;
  final List<Database> databases = new ArrayList<>();
  final List<Run> runs = new ArrayList<>();
  final List<Commit> commits = new ArrayList<>();
  private final Record record;
  private final Store store;
  private final long lagMillis;
  private final int maxConnections;
  private long newestTerm;

  /**
   * Starts a service whose first database is the primary, and keeps its entries in the store.
   *
   * @param term term of the primary
   * @param firstNumber number of the last commit in the log at the start
   */
  Group(
      String service,
      int size,
      long term,
      long firstNumber,
      long lagMillis,
      int maxConnections,
      Store store,
      Record record)
      throws IOException {
    this.service = service;
    this.lagMillis = lagMillis;
    this.maxConnections = maxConnections;
    this.store = store;
    this.record = record;
    this.newestTerm = term;
    for (int i = 0; i < size; i++) {
      Database database = new Database("i-" + service + "-" + i);
      database.primary = i == 0;
      database.term = term;
      database.applied = firstNumber;
      databases.add(database);
    }
    for (Database database : databases) {
      database.begin();
    }
  }

  Database database(String id) {
    return databases.stream().filter(each -> each.id.equals(id)).findFirst().orElse(null);
  }

  /** Makes a database the primary after some time, as POST /promotion does; false if it is down. */
  boolean promote(String id) {
    Database chosen = database(id);
    if (chosen == null || !chosen.running) {
      return false;
    }
    Link.daemon(
        "promote",
        () -> {
          sleep(PROMOTE_MS);
          synchronized (this) {
            if (chosen.running && !chosen.primary) {
              newestTerm++;
              record.line("promoted " + id + " term " + newestTerm + " at " + chosen.applied);
              chosen.primary = true;
              chosen.term = newestTerm;
              for (Database other : databases) {
                if (other != chosen && other.running) {
                  other.primary = false;
                  other.term = newestTerm;
                  other.applied = Math.min(other.applied, chosen.applied);
                }
              }
            }
          }
          chosen.register();
        });
    return true;
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** One database. */
  final class Database {
    final String id;
    private final ServerSocket listener;
    private final Map<String, String> items = new HashMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    boolean primary;
    boolean running = true;
    boolean draining;
    long term;
    long applied;
    private long sequence;

    Database(String id) throws IOException {
      this.id = id;
      this.listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    }

    void begin() {
      Link.daemon("accept", this::accept);
      Link.daemon(
          "heartbeat",
          () -> {
            while (running) {
              register();
              sleep(HEARTBEAT_MS);
            }
          });
    }

    /** Writes the entry into the store. */
    void register() {
      synchronized (Group.this) {
        if (!running) {
          return;
        }
        sequence++;
        store.write(
            "servers/" + id,
            String.format(
                "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\","
                    + "\"config_version\":\"v1\",\"capacity\":3,\"state\":\"%s\","
                    + "\"warmup_left_ms\":0,\"db_role\":\"%s\",\"sequence\":%d,\"born\":%d}",
                service,
                listener.getLocalPort(),
                draining ? "draining" : "ready",
                primary ? "primary" : "replica",
                sequence,
                1_700_000_000_000L));
      }
    }

    /** Ends the database as a crash of its process does. */
    void crash() {
      synchronized (Group.this) {
        running = false;
        primary = false;
      }
      record.line("crashed " + id);
      close(listener);
      connections.forEach(Group::close);
    }

    private void accept() {
      while (true) {
        try {
          Socket socket = listener.accept();
          socket.setTcpNoDelay(true);
          connections.add(socket);
          Link.daemon("serve", () -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        String first = readLine(in);
        if (first == null) {
          return;
        }
        sleep(HANDSHAKE_MS);
        String[] fields = first.split(" ");
        boolean wrong =
            !fields[0].equals("START")
                || !fields[1].equals(service)
                || (fields.length > 3 && !fields[3].equals(id));
        if (wrong) {
          send(out, "ERROR WRONGNODE " + id + "\r\n");
          return;
        }
        if (connections.size() > maxConnections) {
          send(out, "ERROR CONNLIMIT " + id + "\r\n");
          return;
        }
        Session session = new Session();
        send(out, "READY I " + session.position() + "\r\n");
        String line = readLine(in);
        while (line != null && !line.startsWith("TERMINATE")) {
          String answer = session.handle(line);
          send(out, answer);
          line = readLine(in);
        }
      } catch (IOException e) {
        // The connection ended; an open transaction is rolled back.
      } finally {
        connections.remove(socket);
      }
    }

    /** The state of one connection. */
    private final class Session {
      private final Map<String, String> prepared = new HashMap<>();
      private final Map<String, String> uncommitted = new HashMap<>();
      private boolean open;
      private boolean failed;

      String position() {
        return term + "." + applied;
      }

      String handle(String line) {
        String[] parts = line.split(" ", 3);
        if (!parts[0].equals("QUERY") || parts.length < 3) {
          record.line("malformed at " + id + ": " + printable(line));
          return "ERROR MALFORMED " + id + "\r\nREADY I -\r\n";
        }
        String word = parts[2].split(" ")[0];
        if (!parts[1].equals("-")) {
          sleep(WORK_MS);
        }
        synchronized (Group.this) {
          String result = conditional(parts[1], parts[2], word);
          String state = failed ? "E" : open ? "T" : "I";
          return result + "\r\nREADY " + state + " " + position() + "\r\n";
        }
      }

      private String conditional(String statement, String text, String word) {
        if (!word.equals("WAITLSN")) {
          return run(statement, text);
        }
        String[] parts = text.split(" ", 3);
        String[] needed = parts[1].split("\\.");
        boolean lacks =
            Long.parseLong(needed[0]) > term || Long.parseLong(needed[1]) > applied;
        return lacks ? "ERROR LAGGING " + id : run(statement, parts[2]);
      }

      private String run(String statement, String text) {
        String[] words = text.split(" ", 3);
        return switch (words[0]) {
          case "READ" -> read(statement, text, words[1]);
          case "WRITE" -> write(statement, text, words[1], words[2]);
          case "EXECUTE" -> execute(statement, text, words);
          case "PARSE" -> {
            prepared.put(words[1], words[2]);
            yield "COMPLETE -";
          }
          case "SET" -> "COMPLETE -";
          case "CLOSE" -> {
            prepared.remove(words[1]);
            yield "COMPLETE -";
          }
          case "DISCARD" -> {
            prepared.clear();
            yield "COMPLETE -";
          }
          case "BEGIN" -> {
            if (!primary && words.length < 2) {
              yield "ERROR READONLY " + id;
            }
            open = true;
            yield "COMPLETE -";
          }
          case "COMMIT" -> commit(statement);
          case "ROLLBACK" -> {
            end();
            yield "COMPLETE -";
          }
          case "STATUS" -> status();
          case "STEPDOWN" -> {
            if (Long.parseLong(words[1]) > term) {
              primary = false;
            }
            yield status();
          }
          default -> "ERROR MALFORMED " + words[0];
        };
      }

      private String status() {
        return "DATAROW "
            + (primary ? "primary " : "replica ")
            + term
            + " "
            + position()
            + " 0 0 0 "
            + connections.size()
            + "\r\nCOMPLETE -";
      }

      private String signature(String statement) {
        return id + "." + statement;
      }

      private void ran(String statement, String text, String row) {
        runs.add(new Run(record.millis(), id, statement, text, term, applied, row));
        record.line(
            "run at " + id + " " + position() + ": " + statement + " " + printable(text)
                + (row == null ? "" : " -> " + row));
      }

      private String read(String statement, String text, String item) {
        String row = uncommitted.getOrDefault(item, items.getOrDefault(item, "none"));
        ran(statement, text, row);
        return "DATAROW " + row + "\r\nCOMPLETE " + signature(statement);
      }

      private String write(String statement, String text, String item, String data) {
        if (!primary) {
          failed = open;
          return "ERROR READONLY " + id;
        }
        ran(statement, text, null);
        uncommitted.put(item, data);
        if (!open) {
          apply(statement);
        }
        return "COMPLETE " + signature(statement);
      }

      private String execute(String statement, String text, String[] words) {
        String shape = prepared.get(words[1]);
        if (shape == null) {
          return "ERROR NOSTMT " + words[1];
        }
        String[] arguments = words[2].split(" ", 2);
        return shape.startsWith("WRITE")
            ? write(statement, text, arguments[0], arguments[1])
            : read(statement, text, arguments[0]);
      }

      private String commit(String statement) {
        if (!primary && !uncommitted.isEmpty()) {
          end();
          return "ERROR READONLY " + id;
        }
        ran(statement, "COMMIT", null);
        apply(statement);
        end();
        return "COMPLETE " + signature(statement);
      }

      private void apply(String statement) {
        if (uncommitted.isEmpty()) {
          return;
        }
        Map<String, String> writes = Map.copyOf(uncommitted);
        uncommitted.clear();
        items.putAll(writes);
        applied++;
        Commit done = new Commit(statement, term, applied, writes);
        commits.add(done);
        record.line("commit at " + id + " " + position() + ": " + statement);
        replicate(Database.this, done);
      }

      private void end() {
        open = false;
        failed = false;
        uncommitted.clear();
      }
    }
  }

  /** Applies a commit at the replicas after their lag, in order. */
  private void replicate(Database from, Commit commit) {
    Link.daemon(
        "replicate",
        () -> {
          sleep(lagMillis);
          synchronized (this) {
            for (Database each : databases) {
              boolean next = each != from && each.running && !each.primary;
              if (next && each.term == commit.term() && each.applied < commit.number()) {
                each.items.putAll(commit.writes());
                each.applied = commit.number();
              }
            }
          }
        });
  }

  static void send(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Reads a line that CR LF ends; null at the end of the stream. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int previous = -1;
    int c = in.read();
    while (c >= 0) {
      if (previous == '\r' && c == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.substring(0, text.length() - 1);
      }
      line.write(c);
      previous = c;
      c = in.read();
    }
    return null;
  }

  static String printable(String text) {
    return text.replace("\r", "<CR>").replace("\n", "<LF>");
  }

  private static void close(AutoCloseable each) {
    try {
      each.close();
    } catch (Exception e) {
      // Already closed.
    }
  }
}
