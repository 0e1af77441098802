package org.pollenspar.core.process;

/**
 * A host that serves callers and is registered with the fleet.
 *
 * @param name name of the host
 * @param address address for messages of other hosts, "ip:port"
 * @param incarnation differs for each start of its process
 * @param domain failure domain of the host; empty if its record names none
 * @param processorPermille part of a processor core that the host may use, in thousandths
 * @param suspended whether it stopped answering the holder of the failover lease; it must register
 *     again before it can renew its {@link Confirmation}
 */
public record Member(
    String name,
    String address,
    String incarnation,
    String domain,
    int processorPermille,
    boolean suspended) {
  Member asSuspended() {
    return new Member(name, address, incarnation, domain, processorPermille, true);
  }

  /** Returns the record of this process for the time after another one has taken its name. */
  Member asReplaced() {
    String ownName = name + "@" + incarnation;
    return new Member(ownName, address, incarnation, domain, processorPermille, true);
  }
}
