import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * One database with the platform's wire protocol: items, a log, transactions, session values and prepared statements.
 *
 * <p>Where PROTOCOL.md is silent, it behaves as databases usually do: a transaction that doesn't commit leaves no
 * effect, so a SET inside of it is undone as well; prepared statements stay.
 */
final class Database {
  private static final int SLOTS = 3;
  private static final int QUEUE = 24;
  private static final long HANDSHAKE_MS = 12;
  private static final long WORK_MS = 6;
  private static final int MAX_CONNECTIONS = 88;

  /** A commit that wrote, in the log of a database. */
  record Commit(long term, long number, String statement, Map<String, String> writes) {}

  final String id;
  private final Group group;
  private final int port;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final Map<String, String> items = new HashMap<>();
  private ServerSocket listener;
  private volatile boolean stopped;
  private volatile boolean dark;
  private long born = System.currentTimeMillis();
  private long sequence;
  private long pausedBelowTerm;
  final List<Commit> log = new ArrayList<>();
  boolean primary;
  long term = 1;
  long reachesLeaderSince;
  volatile long lastBeat;

  /** Whether it receives nothing from the others, and they nothing from it. */
  volatile boolean deaf;

  /** Whether it reports that it is about to be shut down. */
  private boolean draining;

  /** Share of the commits that fail. */
  volatile double failingCommits;

  /** Called before a statement of a caller runs, with its id, its text and the session values. */
  volatile Observer observer = (statement, text, values) -> {};

  /** Sees the statements of callers. */
  interface Observer {
    void runs(String statement, String text, Map<String, String> values);
  }

  Database(Group group, String id, boolean primary) throws IOException {
    this.group = group;
    this.id = id;
    this.primary = primary;
    this.port = Case.freePort();
    listen();
  }

  String key() {
    return "servers/" + id;
  }

  boolean running() {
    return !stopped && !dark;
  }

  /** Writes the entry into the store, as a heartbeat or because the role has changed. */
  void register() {
    String entry;
    synchronized (group) {
      lastBeat = Case.now();
      entry =
          Store.JSON
              .createObjectNode()
              .put("service", group.name)
              .put("address", "127.0.0.1:" + port)
              .put("zone", "a")
              .put("config_version", "v1")
              .put("capacity", SLOTS)
              .put("state", draining ? "draining" : "ready")
              .put("warmup_left_ms", 0)
              .put("db_role", primary ? "primary" : "replica")
              .put("sequence", ++sequence)
              .put("born", born)
              .toString();
    }
    group.store.write(key(), entry);
  }

  String received() {
    return term + "." + log.size();
  }

  void lead(long newTerm) {
    term = newTerm;
    primary = true;
    pausedBelowTerm = 0;
  }

  /** Reports that it is about to be shut down; it goes on serving. */
  void drain() {
    synchronized (group) {
      draining = true;
    }
    register();
  }

  void becomeReplica() {
    primary = false;
    Case.background("register", this::register);
  }

  /** Takes over what the leader has and this database lacks; what the leader lacks is rolled back. */
  void receiveFrom(Database leader) {
    if (pausedBelowTerm > 0 && leader.term < pausedBelowTerm) {
      return;
    }
    int common = 0;
    while (common < Math.min(log.size(), leader.log.size())
        && log.get(common).equals(leader.log.get(common))) {
      common++;
    }
    if (common < log.size()) {
      log.subList(common, log.size()).clear();
      items.clear();
      log.forEach(each -> items.putAll(each.writes()));
    }
    for (int i = common; i < leader.log.size(); i++) {
      log.add(leader.log.get(i));
      items.putAll(leader.log.get(i).writes());
    }
    term = leader.term;
  }

  /** Stops without notice: silent if dark, else with its connections closed. */
  void crash(boolean newDark) {
    synchronized (group) {
      dark = newDark;
      stopped = !newDark;
    }
    if (!newDark) {
      close(listener);
      connections.forEach(Database::close);
    }
  }

  /**
   * Starts again under its id, after a crash with its connections closed.
   *
   * @param withLog whether it has its log, or knows nothing of before
   */
  void restart(boolean withLog) throws IOException {
    synchronized (group) {
      born = System.currentTimeMillis();
      sequence = 0;
      pausedBelowTerm = 0;
      Database leader = group.leader();
      primary = primary && withLog && (leader == null || leader == this);
      if (!withLog) {
        log.clear();
        items.clear();
        term = 0;
      }
      stopped = false;
    }
    listen();
    register();
  }

  /** Is back after a dark time, with its log. */
  void reappear() {
    synchronized (group) {
      born = System.currentTimeMillis();
      sequence = 0;
      dark = false;
      Database leader = group.leader();
      primary = primary && leader == this;
    }
    connections.forEach(Database::close);
    register();
  }

  private static void close(AutoCloseable each) {
    try {
      each.close();
    } catch (Exception e) {
      // Closed already.
    }
  }

  private void listen() throws IOException {
    ServerSocket open = bind();
    listener = open;
    Case.background(
        "accept " + id,
        () -> {
          try {
            while (true) {
              Socket socket = open.accept();
              socket.setTcpNoDelay(true);
              connections.add(socket);
              Case.background("serve " + id, () -> serve(socket));
            }
          } catch (IOException e) {
            // Stopped.
          }
        });
  }

  /** Opens the port; after a crash, its closed connections may hold it for a moment. */
  private ServerSocket bind() throws IOException {
    for (int tries = 1; ; tries++) {
      ServerSocket open = new ServerSocket();
      try {
        open.setReuseAddress(true);
        open.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
        return open;
      } catch (IOException e) {
        open.close();
        if (tries == 40) {
          throw e;
        }
        Case.pause(50);
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      Session session = new Session();
      String line = Client.readLine(in);
      while (line != null && !line.equals("TERMINATE")) {
        String answer = line.startsWith("START ") ? start(line) : session.handle(line);
        if (dark) {
          while (dark) {
            Case.pause(20);
          }
          return;
        }
        if (stopped) {
          return;
        }
        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        if (answer.startsWith("ERROR") && line.startsWith("START ")) {
          return;
        }
        line = Client.readLine(in);
      }
    } catch (IOException e) {
      // The connection ended; its transaction is rolled back.
    } finally {
      connections.remove(socket);
    }
  }

  private String start(String line) {
    String[] fields = line.split(" ", -1);
    if (!fields[1].equals(group.name) || (fields.length > 3 && !fields[3].equals(id))) {
      return "ERROR WRONGNODE " + id + "\r\n";
    }
    if (connections.size() > MAX_CONNECTIONS) {
      return "ERROR CONNLIMIT " + id + "\r\n";
    }
    slots.acquireUninterruptibly();
    Case.pause(HANDSHAKE_MS);
    slots.release();
    synchronized (group) {
      return "READY I " + received() + "\r\n";
    }
  }

  /** The session on one connection. */
  private final class Session {
    private final Map<String, String> prepared = new HashMap<>();
    private Map<String, String> values = new TreeMap<>();
    private Map<String, String> valuesBefore = Map.of();
    private final Map<String, String> writes = new HashMap<>();
    private boolean open;
    private boolean readOnly;
    private boolean failed;
    private long begunTerm;

    String handle(String line) {
      String[] parts = line.split(" ", 3);
      if (!parts[0].equals("QUERY") || parts.length < 3) {
        return "ERROR MALFORMED " + id + "\r\n" + ready();
      }
      boolean works = !parts[1].equals("-") || parts[2].startsWith("STATUS");
      if (works && slots.getQueueLength() >= QUEUE) {
        return "ERROR BUSY " + id + "\r\n" + ready();
      }
      if (works) {
        slots.acquireUninterruptibly();
        Case.pause(WORK_MS);
      }
      try {
        synchronized (group) {
          return run(parts[1], parts[2]) + "\r\n" + ready();
        }
      } finally {
        if (works) {
          slots.release();
        }
      }
    }

    private String ready() {
      synchronized (group) {
        return "READY " + (failed ? "E" : open ? "T" : "I") + " " + received() + "\r\n";
      }
    }

    private String run(String statement, String given) {
      String text = given;
      if (text.startsWith("WAITLSN ")) {
        String[] parts = text.split(" ", 3);
        String[] needed = parts[1].split("\\.");
        long neededTerm = Long.parseLong(needed[0]);
        long neededNumber = Long.parseLong(needed[1]);
        if (neededTerm > term || (neededTerm == term && neededNumber > log.size())) {
          return fail("LAGGING");
        }
        text = parts[2];
      }
      String[] words = text.split(" ", 3);
      if (failed && !words[0].equals("ROLLBACK")) {
        return "ERROR MALFORMED " + id;
      }
      boolean plain = open && !readOnly;
      boolean lostLead = plain && (!primary || begunTerm != term);
      if (lostLead && !words[0].equals("ROLLBACK") && !(words[0].equals("COMMIT") && writes.isEmpty())) {
        return fail("READONLY");
      }
      if (!statement.equals("-")) {
        observer.runs(statement, text, Map.copyOf(values));
      }
      switch (words[0]) {
        case "SET":
          values.put(words[1], words[2]);
          return "COMPLETE -";
        case "DISCARD":
          values.clear();
          prepared.clear();
          return "COMPLETE -";
        case "PARSE":
          prepared.put(words[1], words[2].split(" ")[0]);
          return "COMPLETE -";
        case "CLOSE":
          prepared.remove(words[1]);
          return "COMPLETE -";
        case "BEGIN":
          return begin(words.length > 1);
        case "ROLLBACK":
          end(false);
          return "COMPLETE -";
        case "COMMIT":
          return commit(statement);
        case "READ":
          return read(statement, words[1]);
        case "WRITE":
          return write(statement, words[1], words[2]);
        case "EXECUTE":
          String kind = prepared.get(words[1]);
          String[] arguments = words[2].split(" ", 2);
          if (kind == null) {
            return fail("NOSTMT");
          }
          return kind.equals("WRITE")
              ? write(statement, arguments[0], arguments[1])
              : read(statement, arguments[0]);
        case "STATUS":
          return status();
        case "PAUSE":
          pausedBelowTerm = Long.parseLong(words[1]);
          return status();
        case "RESUME":
          pausedBelowTerm = 0;
          return status();
        case "STEPDOWN":
          if (primary && term < Long.parseLong(words[1])) {
            becomeReplica();
          }
          return status();
        default:
          return "ERROR MALFORMED " + id;
      }
    }

    private String fail(String code) {
      failed = open;
      return "ERROR " + code + " " + id;
    }

    private String status() {
      String role = primary ? "primary " : "replica ";
      return "DATAROW " + role + term + " " + received() + " " + pausedBelowTerm + " 0 0 "
          + connections.size() + "\r\nCOMPLETE -";
    }

    private String begin(boolean newReadOnly) {
      if (!primary && !newReadOnly) {
        return "ERROR READONLY " + id;
      }
      open = true;
      readOnly = newReadOnly;
      begunTerm = term;
      valuesBefore = new TreeMap<>(values);
      return "COMPLETE -";
    }

    /** Ends the transaction; one that doesn't commit leaves no effect. */
    private void end(boolean committed) {
      if (open && !committed) {
        values = new TreeMap<>(valuesBefore);
      }
      open = false;
      failed = false;
      writes.clear();
    }

    private String read(String statement, String item) {
      String row = writes.getOrDefault(item, items.getOrDefault(item, "none"));
      return "DATAROW " + row + "\r\nCOMPLETE " + id + "." + statement;
    }

    private String write(String statement, String item, String data) {
      if (!primary || readOnly && open) {
        return fail("READONLY");
      }
      writes.put(item, data);
      return open ? "COMPLETE " + id + "." + statement : append(statement);
    }

    private String commit(String statement) {
      if (!open) {
        return "ERROR MALFORMED " + id;
      }
      if (Math.random() < failingCommits) {
        end(false);
        return "ERROR FAILED the commit failed and the transaction is rolled back";
      }
      String answer = writes.isEmpty() ? "COMPLETE " + id + "." + statement : append(statement);
      end(true);
      return answer;
    }

    /** Appends a commit to the log and waits until enough replicas have received it. */
    private String append(String statement) {
      Commit commit = new Commit(term, log.size() + 1, statement, Map.copyOf(writes));
      writes.clear();
      log.add(commit);
      items.putAll(commit.writes());
      while (group.syncReplicas > 0 && running() && primary && !replicaHas(commit)) {
        try {
          TimeUnit.MILLISECONDS.timedWait(group, 20);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
      if (running() && primary) {
        group.acknowledged.add(commit);
      }
      return "COMPLETE " + id + "." + statement;
    }

    private boolean replicaHas(Commit commit) {
      for (Database each : group.databases) {
        if (each != Database.this && each.running() && each.log.contains(commit)) {
          return true;
        }
      }
      return false;
    }
  }
}
