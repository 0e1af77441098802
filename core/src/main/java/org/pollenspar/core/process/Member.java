package org.pollenspar.core.process;

/**
 * A host that serves callers.
 *
 * @param name name of the host
 * @param address where other hosts reach it, "ip:port"
 * @param incarnation differs for each start of its process
 * @param suspended whether the host that replaces primaries gave it up; it must register again
 *     before its next proof counts
 */
public record Member(String name, String address, String incarnation, boolean suspended) {
  /** Returns the member as given up. */
  Member asSuspended() {
    return new Member(name, address, incarnation, true);
  }
}
