package org.pollenspar.core.request;

/**
 * A rank of work, declared in the applied file.
 *
 * @param level 1 is the most urgent
 * @param name name in the file
 * @param floorPercent share of a database's capacity that the rank keeps in a flood of others
 * @param queueLimit requests of this rank that may wait at one home for one group
 */
public record Rank(int level, String name, int floorPercent, int queueLimit) {}
