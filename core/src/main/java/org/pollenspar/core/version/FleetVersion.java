package org.pollenspar.core.version;

/**
 * A configuration version that is in force, with its parsed fleet file. A request uses the version
 * that was in force at its arrival until it ends.
 *
 * @param version number of the configuration version
 * @param file parsed fleet file
 */
public record FleetVersion(long version, FleetFile file) {}
