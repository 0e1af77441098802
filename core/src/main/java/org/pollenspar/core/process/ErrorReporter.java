package org.pollenspar.core.process;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;

/** Reports all errors of a process: formats them, counts them by kind and notifies listeners. */
public final class ErrorReporter {
  private final Map<ErrorKind, LongAdder> counts = new EnumMap<>(ErrorKind.class);
  private final List<ErrorListener> listeners;

  public ErrorReporter(List<ErrorListener> listeners) {
    this.listeners = new CopyOnWriteArrayList<>(listeners);
    for (ErrorKind kind : ErrorKind.values()) {
      counts.put(kind, new LongAdder());
    }
  }

  public PollensparError report(ErrorKind kind, Object... arguments) {
    return report(PollensparError.of(kind, arguments));
  }

  public PollensparError report(PollensparError error) {
    counter(error.kind()).increment();
    listeners.forEach(listener -> listener.reported(error));
    return error;
  }

  public long count(ErrorKind kind) {
    return counter(kind).sum();
  }

  private LongAdder counter(ErrorKind kind) {
    return java.util.Objects.requireNonNull(counts.get(kind));
  }
}
