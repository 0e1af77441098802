package org.pollenspar.net.process;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;

/** The checked settings of one program. */
public final class ProcessSettings {
  private final Map<Setting, String> values;

  ProcessSettings(Map<Setting, String> values) {
    this.values = new EnumMap<>(values);
  }

  public String text(Setting setting) {
    return Objects.requireNonNull(values.get(setting), setting.key());
  }

  public int number(Setting setting) {
    return Integer.parseInt(text(setting));
  }

  /** Returns the address to listen on with one of the ports. */
  public InetSocketAddress listenAddress(Setting port) {
    return new InetSocketAddress(text(Setting.ADDRESS), number(port));
  }

  public URI platformUrl() {
    return URI.create(text(Setting.PLATFORM_URL));
  }
}
