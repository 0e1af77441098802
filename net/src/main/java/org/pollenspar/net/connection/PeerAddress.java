package org.pollenspar.net.connection;

/**
 * Address of another process of pollenspar.
 *
 * @param hostId id in the host list
 * @param address IP address
 * @param port peer port
 */
public record PeerAddress(String hostId, String address, int port) {}
