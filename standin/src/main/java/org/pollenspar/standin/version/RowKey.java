package org.pollenspar.standin.version;

/**
 * Names one row, present or not.
 *
 * @param table table
 * @param key text of the primary key, or a generated id
 */
record RowKey(String table, String key) {}
