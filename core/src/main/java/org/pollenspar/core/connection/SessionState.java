package org.pollenspar.core.connection;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.request.PreparedShape;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.version.RouteTable;

/**
 * State of a caller's session: session values, prepared statements by the caller's names, and the
 * organisation for which statements run. A connection to a database belongs to one organisation.
 */
public final class SessionState {
  /** Approximate size of an entry of a map with its two texts, without their characters. */
  private static final int ENTRY_BYTES = 128;

  private final Map<String, String> values = new HashMap<>();
  private final Map<String, PreparedShape> prepared = new HashMap<>();
  private String organisation = RouteTable.NO_ORGANISATION;
  private BooleanSupplier admission = () -> true;

  /** Characters of all names, values and shapes. */
  private long size;

  /** Returns the organisation for which statements run now. */
  public String organisation() {
    return organisation;
  }

  /** Sets what {@link #admitted} returns; always true otherwise. */
  void admission(BooleanSupplier check) {
    admission = check;
  }

  /**
   * Returns whether the caller's key still admits it to the organisation for which statements run,
   * by the configuration in force. To be asked again by who has let a statement wait.
   */
  boolean admitted() {
    return admission.getAsBoolean();
  }

  /** Sets the organisation for which statements run from now on. */
  void organisation(String name) {
    organisation = name;
  }

  public Map<String, String> values() {
    return values;
  }

  /** Replaces all session values. */
  void replaceValues(Map<String, String> newValues) {
    values.forEach((name, value) -> size -= sizeOf(name, value));
    values.clear();
    newValues.forEach(this::set);
  }

  /** Returns the approximate number of bytes that the state takes. */
  public long bytes() {
    return size + (long) ENTRY_BYTES * (values.size() + prepared.size());
  }

  private static long sizeOf(String name, @Nullable String content) {
    return content == null ? 0 : (long) name.length() + content.length();
  }

  public void set(String name, String value) {
    size += sizeOf(name, value) - sizeOf(name, values.put(name, value));
  }

  /** Adds a prepared statement, which replaces an earlier one of the same name. */
  public void prepare(String name, PreparedShape shape) {
    size += sizeOf(name, shape.shape());
    removed(name, prepared.put(name, shape));
  }

  /** Returns a prepared statement; null if the name is unknown. */
  public @Nullable PreparedShape prepared(String name) {
    return prepared.get(name);
  }

  /** Returns whether a statement, or the prepared statement that it executes, changes data. */
  public boolean writes(SessionStatement statement) {
    if (statement instanceof SessionStatement.Execute execute) {
      @Nullable PreparedShape shape = prepared.get(execute.name());
      return shape != null && shape.writes();
    }
    return statement instanceof SessionStatement.Write;
  }

  /** Returns the prepared statement that a statement executes; null if it executes none. */
  public @Nullable PreparedShape shapeOf(SessionStatement statement) {
    return statement instanceof SessionStatement.Execute execute
        ? prepared.get(execute.name())
        : null;
  }

  /** Removes a prepared statement; returns whether it existed. */
  public boolean close(String name) {
    return removed(name, prepared.remove(name));
  }

  private boolean removed(String name, @Nullable PreparedShape shape) {
    if (shape != null) {
      size -= sizeOf(name, shape.shape());
    }
    return shape != null;
  }
}
