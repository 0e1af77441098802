package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.PreparedShape;
import org.pollenspar.core.request.SessionStatement;

/** What a caller's session has set up: values and prepared statements under the caller's names. */
public final class SessionState {
  private final Map<String, String> values = new HashMap<>();
  private final Map<String, PreparedShape> prepared = new HashMap<>();

  /** Returns the session's values. */
  public Map<String, String> values() {
    return values;
  }

  /** Sets a value. */
  public void set(String name, String value) {
    values.put(name, value);
  }

  /** Declares a prepared statement; an earlier one of the name is replaced. */
  public void prepare(String name, PreparedShape shape) {
    prepared.put(name, shape);
  }

  /** Returns a prepared statement; null if the name is unknown. */
  public @Nullable PreparedShape prepared(String name) {
    return prepared.get(name);
  }

  /** Returns whether a statement changes data. */
  public boolean writes(SessionStatement statement) {
    if (statement instanceof SessionStatement.Execute execute) {
      @Nullable PreparedShape shape = prepared.get(execute.name());
      return shape != null && shape.writes();
    }
    return statement instanceof SessionStatement.Write;
  }

  /** Returns the shape that a statement executes; null if it isn't a prepared one. */
  public @Nullable PreparedShape shapeOf(SessionStatement statement) {
    return statement instanceof SessionStatement.Execute execute
        ? prepared.get(execute.name())
        : null;
  }

  /** Forgets a prepared statement; returns whether it was known. */
  public boolean close(String name) {
    return prepared.remove(name) != null;
  }
}
