package org.pollenspar.proxy.process;

import java.util.Locale;

/** The lifecycle state of a proxy. */
public enum ProxyState {
  /** No configuration has been received yet; requests are refused. */
  STARTING,
  /** Requests are accepted. */
  SERVING,
  /** Requests in progress are finished, new ones are refused. */
  DRAINING;

  /** Returns the name used in the status page. */
  String statusName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
