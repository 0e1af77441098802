package org.pollenspar.standin.process;

/**
 * Another database of the group.
 *
 * @param id name
 * @param address IP number
 * @param controlPort port of its control API
 */
public record ReplicationPeer(String id, String address, int controlPort) {}
