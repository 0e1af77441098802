package org.pollenspar.core.version;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The organisations of a configuration.
 *
 * @param byName organisations by their names, in the order of the names
 * @param namesByKey names of organisations by the keys that they hold
 */
public record Organisations(Map<String, Organisation> byName, Map<String, String> namesByKey) {

  /** Creates copies of the maps. */
  public Organisations {
    byName = new TreeMap<>(byName);
    namesByKey = Map.copyOf(namesByKey);
  }

  /** Returns all organisations, in the order of their names. */
  public Collection<Organisation> all() {
    return byName.values();
  }

  /** Returns the organisation of a name; null if there is none. */
  public @Nullable Organisation named(String name) {
    return byName.get(name);
  }

  /** Returns the name of the organisation that holds a key; null if none does. */
  public @Nullable String holderOf(String key) {
    return namesByKey.get(key);
  }
}
