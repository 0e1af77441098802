package org.pollenspar.core.version;

/**
 * A configuration version in force, with its parsed file. A request keeps the one that was current
 * at its arrival.
 *
 * @param version number of the version
 * @param file its parsed file
 */
public record FleetVersion(long version, FleetFile file) {}
