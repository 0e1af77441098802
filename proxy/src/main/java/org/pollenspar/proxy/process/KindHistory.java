package org.pollenspar.proxy.process;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import org.pollenspar.core.request.WorkKind;
import org.pollenspar.core.version.FleetFile;
import org.pollenspar.core.version.FleetVersion;

/**
 * The kinds of work of the last 16 configuration versions. A request that another proxy forwards is
 * executed with the version that the other proxy accepted it with. Safe for use by several threads.
 */
public final class KindHistory {
  private static final int VERSIONS_KEPT = 16;

  private final ConcurrentSkipListMap<Long, FleetFile> files = new ConcurrentSkipListMap<>();

  public void add(FleetVersion version) {
    files.put(version.version(), version.file());
    while (files.size() > VERSIONS_KEPT) {
      files.pollFirstEntry();
    }
  }

  /**
   * Returns a kind of work. If this proxy does not know the version, for example because it has not
   * received it yet, the next lower known version is used, or else the oldest.
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
