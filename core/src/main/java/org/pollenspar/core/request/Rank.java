package org.pollenspar.core.request;

/**
 * An urgency class of work, declared in the fleet file.
 *
 * @param level urgency; 1 is the most urgent
 * @param name name in the file
 * @param floorPercent share of a database's capacity, in percent, that is reserved for this rank
 *     while other ranks are overloaded
 * @param queueLimit most requests of this rank that may wait at one home proxy for one group
 */
public record Rank(int level, String name, int floorPercent, int queueLimit) {}
