package org.pollenspar.proxy.process;

import java.util.Locale;

/** Where a proxy is in its life. */
public enum ProxyState {
  /** It has no configuration yet. */
  STARTING,
  /** It takes requests. */
  SERVING,
  /** It finishes what is running and takes nothing new. */
  DRAINING;

  /** Returns the name used in status. */
  String statusName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
