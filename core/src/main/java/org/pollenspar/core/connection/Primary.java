package org.pollenspar.core.connection;

/**
 * The database that leads a group.
 *
 * @param databaseId name of the database
 * @param term term in which it leads
 */
public record Primary(String databaseId, long term) {}
