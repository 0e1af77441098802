package org.pollenspar.core.process;

/**
 * An event in the {@link Timeline}.
 *
 * @param stamp time of the event, see {@link HybridClock}
 * @param process id of the process that recorded it
 * @param kind what happened, in snake case, for example {@code primary_suspected}
 * @param subject group, database, host or version that it concerns
 * @param detail free text
 */
public record TimelineEvent(
    long stamp, String process, String kind, String subject, String detail) {}
