package org.pollenspar.core.version;

import java.util.List;

/**
 * A database group, declared in the fleet file.
 *
 * @param name name of the group at the platform
 * @param databases ids of the databases of the group
 * @param connectionsPerDatabase maximum number of connections that all proxies together may open to
 *     one database
 */
public record GroupSpec(String name, List<String> databases, int connectionsPerDatabase) {

  public GroupSpec {
    databases = List.copyOf(databases);
  }

  /** Returns the number of databases that form a majority. */
  public int majority() {
    return databases.size() / 2 + 1;
  }
}
