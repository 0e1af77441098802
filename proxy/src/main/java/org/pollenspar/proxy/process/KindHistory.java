package org.pollenspar.proxy.process;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import org.pollenspar.core.request.WorkKind;
import org.pollenspar.core.version.FleetFile;
import org.pollenspar.core.version.FleetVersion;

/**
 * The last configuration versions, so that a request that another proxy accepted is executed by the
 * version that it was accepted with. Safe for use by several threads.
 */
public final class KindHistory {
  private static final int VERSIONS_KEPT = 16;

  private final ConcurrentSkipListMap<Long, FleetFile> files = new ConcurrentSkipListMap<>();

  /** Adds a version. */
  public void add(FleetVersion version) {
    files.put(version.version(), version.file());
    while (files.size() > VERSIONS_KEPT) {
      files.pollFirstEntry();
    }
  }

  /**
   * Returns a kind of work. A version that this proxy does not know, for example because it is
   * still on its way here, is replaced by the nearest known one below it, else by the oldest.
   */
  public Optional<WorkKind> kind(long version, String name) {
    Map.Entry<Long, FleetFile> entry = files.floorEntry(version);
    if (entry == null) {
      entry = files.firstEntry();
    }
    return entry == null
        ? Optional.empty()
        : Optional.ofNullable(entry.getValue().kinds().get(name));
  }
}
