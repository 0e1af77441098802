package org.pollenspar.edge.process;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.ControlListener;

/**
 * Writes events as JSON, one object per line, without blocking the event loop.
 *
 * <p>Lines go into a bounded buffer, from which a thread of the log writes them in batches. A line
 * that finds the buffer full is dropped and counted; the count is logged with the next batch, so
 * that a gap in the log is visible.
 *
 * <p>Thread-safe.
 */
public final class EventLog implements ControlListener, AutoCloseable {
  private static final int BUFFER_LINES = 2_000;

  /** How long lines are collected before they are written together. */
  private static final long BATCH_MS = 200;

  private final Clocks clocks;
  private final OutputStream out;
  private final String host;
  private final Object lock = new Object();
  private List<String> buffer = new ArrayList<>();
  private long dropped;
  private boolean closed;
  private final Thread writer;

  /**
   * Creates a log and starts its thread.
   *
   * @param host name of this host, written with every line
   */
  public EventLog(Clocks clocks, OutputStream out, String host) {
    this.clocks = clocks;
    this.out = out;
    this.host = host;
    this.writer = new Thread(this::writeBatches, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void changed(String event, String subject, String detail) {
    add(line(event).text("subject", subject).text("detail", detail));
  }

  /** Begins a line; {@link #add} puts it into the log. */
  public Line line(String event) {
    return new Line(clocks.wallMillis(), host, event);
  }

  /** Adds a line to the buffer. */
  public void add(Line line) {
    String text = line.end();
    synchronized (lock) {
      if (buffer.size() >= BUFFER_LINES) {
        dropped++;
        return;
      }
      buffer.add(text);
      if (buffer.size() == 1) {
        lock.notifyAll();
      }
    }
  }

  /** Writes what is buffered and ends the thread; waits for at most 1 s. */
  @Override
  public void close() {
    synchronized (lock) {
      closed = true;
      lock.notifyAll();
    }
    try {
      writer.join(1_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeBatches() {
    try {
      boolean last = false;
      while (!last) {
        List<String> batch;
        long droppedLines;
        synchronized (lock) {
          while (buffer.isEmpty() && !closed) {
            lock.wait();
          }
          if (!closed) {
            lock.wait(BATCH_MS);
          }
          last = closed;
          batch = buffer;
          buffer = new ArrayList<>();
          droppedLines = dropped;
          dropped = 0;
        }
        if (droppedLines > 0) {
          batch.add(line("log_lines_dropped").number("count", droppedLines).end());
        }
        write(batch);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(List<String> batch) {
    StringBuilder text = new StringBuilder();
    batch.forEach(line -> text.append(line).append('\n'));
    try {
      out.write(text.toString().getBytes(StandardCharsets.UTF_8));
      out.flush();
    } catch (IOException e) {
      synchronized (lock) {
        // For example, the process that reads the output has exited. The lines count as dropped.
        dropped += batch.size();
      }
    }
  }

  /** One line under construction. */
  public static final class Line {
    private static final char LINE_SEPARATOR = 0x2028;
    private static final char PARAGRAPH_SEPARATOR = 0x2029;

    private final StringBuilder text = new StringBuilder(160);

    Line(long wallMillis, String host, String event) {
      text.append("{\"at\":").append(wallMillis);
      text("host", host);
      text("event", event);
    }

    /**
     * Adds a text field; control characters and line separators in its value become blanks, as some
     * readers of lines take even those beyond ASCII for the end of one.
     */
    public Line text(String name, String value) {
      text.append(",\"").append(name).append("\":\"");
      for (int i = 0; i < value.length(); i++) {
        char c = value.charAt(i);
        if (c == '"' || c == '\\') {
          text.append('\\').append(c);
        } else if (Character.isISOControl(c) || c == LINE_SEPARATOR || c == PARAGRAPH_SEPARATOR) {
          text.append(' ');
        } else {
          text.append(c);
        }
      }
      text.append('"');
      return this;
    }

    /** Adds a numeric field. */
    public Line number(String name, long value) {
      text.append(",\"").append(name).append("\":").append(value);
      return this;
    }

    String end() {
      return text.append('}').toString();
    }
  }
}
