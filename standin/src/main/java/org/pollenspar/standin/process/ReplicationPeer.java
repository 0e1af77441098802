package org.pollenspar.standin.process;

/**
 * Another database of the same group, as the primary reaches it for replication.
 *
 * @param id name of the database
 * @param address IP address
 * @param controlPort port of its control API
 */
public record ReplicationPeer(String id, String address, int controlPort) {}
