package org.pollenspar.core.connection;

/**
 * The database that is the primary of a group.
 *
 * @param databaseId name of the database
 * @param term term in which it is the primary
 */
public record Primary(String databaseId, long term) {}
