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
 * PROTOCOL.md. Lines end with CR LF. Each commit that writes gets the next number; replicas receive
 * it within some milliseconds and apply it later. With synchronous replication, a commit is
 * acknowledged once one replica has received it. All databases of a group share one lock.
 */
final class Group {
  private static final long HANDSHAKE_MS = 12;
  private static final long PROMOTE_MS = 600;
  private static final long HEARTBEAT_MS = 1_200;
  private static final long REPLICATION_POLL_MS = 3;

  /** Heartbeats without which the store's entry of a database ends. */
  private static final int MISSED_HEARTBEATS = 3;

  /** A statement of a client that a database ran. */
  record Run(
      long atMillis, String database, String id, String text, long term, long applied, String row) {}

  /** A commit that wrote: its number in the log and the statement's id. */
  record Commit(
      String id, long term, long number, Map<String, String> writes, long receivableNanos) {}

  final String service;
  final List<Database> databases = new ArrayList<>();
  final List<Run> runs = new ArrayList<>();
  final List<Commit> commits = new ArrayList<>();
  private final Record record;
  private final Store store;
  private final long lagMillis;
  private final int maxConnections;
  private final int syncReplicas;
  private final long firstNumber;
  private long newestTerm;

  /** How long a read, a write or a commit of a client takes. */
  volatile long workMillis = 5;

  /**
   * Starts a service whose first database is the primary, and keeps its entries in the store.
   *
   * @param term term of the primary
   * @param firstNumber number of the last commit in the log at the start
   * @param syncReplicas replicas that must have received a commit before it is acknowledged
   */
  Group(
      String service,
      int size,
      long term,
      long firstNumber,
      long lagMillis,
      int maxConnections,
      int syncReplicas,
      Store store,
      Record record)
      throws IOException {
    this.service = service;
    this.lagMillis = lagMillis;
    this.maxConnections = maxConnections;
    this.syncReplicas = syncReplicas;
    this.firstNumber = firstNumber;
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
    Link.daemon("replicate", this::replicate);
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
              record.line("promoted " + id + " term " + newestTerm + " at " + chosen.received());
              chosen.lead(newestTerm);
              for (Database other : databases) {
                if (other != chosen && other.running) {
                  other.follow(chosen);
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
    private final int port;
    private volatile ServerSocket listener;
    private final Map<String, String> items = new HashMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    boolean primary;
    boolean running = true;
    boolean draining;

    /** Whether it receives nothing from the primary. */
    boolean deaf;

    long term;
    long applied;
    final List<Commit> log = new ArrayList<>();
    private long sequence;
    private volatile long beatNanos;

    Database(String id) throws IOException {
      this.id = id;
      this.listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
      this.port = listener.getLocalPort();
    }

    /** Returns the number of the last commit that was received. */
    long received() {
      return firstNumber + log.size();
    }

    private void applyUpTo(long number) {
      while (applied < number) {
        items.putAll(log.get((int) (applied - firstNumber)).writes());
        applied++;
      }
    }

    private void lead(long newTerm) {
      applyUpTo(received());
      primary = true;
      term = newTerm;
    }

    /** Becomes a replica of a new primary; commits that the primary lacks are rolled back. */
    private void follow(Database leader) {
      primary = false;
      term = leader.term;
      int common = 0;
      while (common < Math.min(log.size(), leader.log.size())
          && log.get(common).id().equals(leader.log.get(common).id())) {
        common++;
      }
      if (common < log.size()) {
        record.line(id + " rolls back " + (log.size() - common) + " commits");
        log.subList(common, log.size()).clear();
        items.clear();
        applied = firstNumber;
        applyUpTo(received());
      }
    }

    private void receive(Database leader, long nowNanos) {
      for (int i = log.size(); i < leader.log.size(); i++) {
        if (leader.log.get(i).receivableNanos() - nowNanos > 0) {
          return;
        }
        log.add(leader.log.get(i));
      }
    }

    private void applyOld(long nowNanos) {
      long number = applied;
      while (number < received()
          && nowNanos - log.get((int) (number - firstNumber)).receivableNanos()
              >= lagMillis * 1_000_000) {
        number++;
      }
      applyUpTo(number);
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
        beatNanos = System.nanoTime();
        store.write(
            "servers/" + id,
            String.format(
                "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\","
                    + "\"config_version\":\"v1\",\"capacity\":3,\"state\":\"%s\","
                    + "\"warmup_left_ms\":0,\"db_role\":\"%s\",\"sequence\":%d,\"born\":%d}",
                service,
                port,
                draining ? "draining" : "ready",
                primary ? "primary" : "replica",
                sequence,
                1_700_000_000_000L));
      }
    }

    /** Ends the database as a crash of its process does; its entry ends some heartbeats later. */
    void crash() throws IOException {
      synchronized (Group.this) {
        running = false;
        listener.close();
      }
      record.line("crashed " + id + " at " + received());
      connections.forEach(Group::close);
      Link.daemon(
          "entry",
          () -> {
            sleep(MISSED_HEARTBEATS * HEARTBEAT_MS - (System.nanoTime() - beatNanos) / 1_000_000);
            synchronized (Group.this) {
              if (!running) {
                store.delete("servers/" + id);
              }
            }
          });
    }

    /** Starts again with its log, as a replica if another database was promoted meanwhile. */
    void restart() throws IOException {
      synchronized (Group.this) {
        listener = new ServerSocket(port, 200, InetAddress.getLoopbackAddress());
        running = true;
        Database leader = leader();
        if (leader != null && leader != this) {
          follow(leader);
        }
        record.line("started again " + id + " as " + (primary ? "primary" : "replica"));
      }
      begin();
    }

    private void accept() {
      ServerSocket open = listener;
      while (true) {
        try {
          Socket socket = open.accept();
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
          if (!running) {
            return;
          }
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
          sleep(workMillis);
        }
        String answer;
        long number;
        synchronized (Group.this) {
          if (!running) {
            return "";
          }
          long before = applied;
          String result = conditional(parts[1], parts[2], word);
          String state = failed ? "E" : open ? "T" : "I";
          answer = result + "\r\nREADY " + state + " " + position() + "\r\n";
          number = primary && applied > before ? applied : 0;
        }
        return number == 0 || synchronouslyReceived(number) ? answer : "";
      }

      /** Waits until enough replicas have received a commit; false if this database has ended. */
      private boolean synchronouslyReceived(long number) {
        while (running) {
          synchronized (Group.this) {
            long count =
                databases.stream()
                    .filter(each -> each != Database.this && each.received() >= number)
                    .count();
            if (count >= syncReplicas) {
              return running;
            }
          }
          sleep(REPLICATION_POLL_MS);
        }
        return false;
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
            + term
            + "."
            + received()
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
        long nowNanos = System.nanoTime() + 1_000_000;
        Commit done =
            new Commit(statement, term, received() + 1, Map.copyOf(uncommitted), nowNanos);
        uncommitted.clear();
        log.add(done);
        applyUpTo(received());
        commits.add(done);
        record.line("commit at " + id + " " + position() + ": " + statement);
      }

      private void end() {
        open = false;
        failed = false;
        uncommitted.clear();
      }
    }
  }

  /** Returns the running primary of the newest term; null if there is none. */
  private Database leader() {
    return databases.stream()
        .filter(each -> each.running && each.primary && each.term == newestTerm)
        .findFirst()
        .orElse(null);
  }

  /** Lets the replicas receive the primary's commits, and apply them after their lag. */
  private void replicate() {
    while (true) {
      sleep(REPLICATION_POLL_MS);
      synchronized (this) {
        long now = System.nanoTime();
        Database leader = leader();
        for (Database each : databases) {
          if (each.running && !each.primary) {
            if (leader != null && !each.deaf) {
              each.receive(leader, now);
            }
            each.applyOld(now);
          }
        }
      }
    }
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
