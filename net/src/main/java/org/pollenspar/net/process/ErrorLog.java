package org.pollenspar.net.process;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.ErrorListener;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.process.Severity;

/**
 * Logs reported errors, limited to one line per kind and interval; a line tells how many errors of
 * its kind were suppressed before it. Errors of severity NOTICE are not logged. An outage repeats
 * an error thousands of times a second. The counters in {@code /metrics} count every error.
 */
public final class ErrorLog implements ErrorListener {
  private static final long INTERVAL_NANOS = 10_000_000_000L;

  private final System.Logger logger;
  private final LongSupplier nanoTime;
  private final Map<ErrorKind, Entry> entries = new EnumMap<>(ErrorKind.class);

  public ErrorLog(System.Logger logger, LongSupplier nanoTime) {
    this.logger = logger;
    this.nanoTime = nanoTime;
  }

  /** Time of the last line of a kind, and the errors suppressed since. */
  private static final class Entry {
    private long loggedAt;
    private long suppressed;
  }

  @Override
  public void reported(PollensparError error) {
    if (error.kind().severity() == Severity.NOTICE) {
      return;
    }
    String line = line(error);
    if (!line.isEmpty()) {
      logger.log(error.kind().severity().level(), line);
    }
  }

  private synchronized String line(PollensparError error) {
    long now = nanoTime.getAsLong();
    Entry entry = entries.get(error.kind());
    if (entry == null) {
      entry = new Entry();
      entries.put(error.kind(), entry);
    } else if (now - entry.loggedAt < INTERVAL_NANOS) {
      entry.suppressed++;
      return "";
    }
    String suffix = entry.suppressed == 0 ? "" : " (" + entry.suppressed + " more suppressed)";
    entry.loggedAt = now;
    entry.suppressed = 0;
    return "error " + error.kind().number() + ": " + error.message() + suffix;
  }
}
