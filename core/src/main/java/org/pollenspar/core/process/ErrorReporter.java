package org.pollenspar.core.process;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;

/** The one place that reports errors: formats, counts per kind and tells the listeners. */
public final class ErrorReporter {
  private final Map<ErrorKind, LongAdder> counts = new EnumMap<>(ErrorKind.class);
  private final List<ErrorListener> listeners;

  /** Creates a reporter that tells these listeners. */
  public ErrorReporter(List<ErrorListener> listeners) {
    this.listeners = new CopyOnWriteArrayList<>(listeners);
    for (ErrorKind kind : ErrorKind.values()) {
      counts.put(kind, new LongAdder());
    }
  }

  /** Formats and reports an error. */
  public PollensparError report(ErrorKind kind, Object... arguments) {
    return report(PollensparError.of(kind, arguments));
  }

  /** Reports an error that is already formatted. */
  public PollensparError report(PollensparError error) {
    counter(error.kind()).increment();
    listeners.forEach(listener -> listener.reported(error));
    return error;
  }

  /** Returns how often this kind was reported. */
  public long count(ErrorKind kind) {
    return counter(kind).sum();
  }

  private LongAdder counter(ErrorKind kind) {
    return java.util.Objects.requireNonNull(counts.get(kind));
  }
}
