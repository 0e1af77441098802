package org.pollenspar.standin.request;

/**
 * A column of a table or of a result.
 *
 * @param name name, in lower case unless quoted
 * @param type type of its values
 * @param primaryKey whether it is the table's primary key
 */
public record Column(String name, ColumnType type, boolean primaryKey) {}
