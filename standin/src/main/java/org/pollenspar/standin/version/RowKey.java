package org.pollenspar.standin.version;

/**
 * Identifies a row, whether or not it exists. Also the unit of locking; an empty key stands for the
 * creation of the table.
 *
 * @param table name of the table
 * @param key text form of the primary key, or a generated key if the table has none
 */
record RowKey(String table, String key) {}
