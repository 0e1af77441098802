package org.pollenspar.standin.version;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.pollenspar.standin.request.Column;

/**
 * One change within a committed transaction: the creation of a table, or an insert, update or
 * delete of one row. A change that undoes a creation has neither columns, key nor row.
 *
 * @param table name of the changed table
 * @param create columns of the table if the change creates it; null otherwise
 * @param key primary key or generated key of the row; null if the change concerns the whole table
 * @param row new values in text form; null if the row is deleted or the change concerns the whole
 *     table
 */
public record Change(
    String table,
    @Nullable List<Column> create,
    @Nullable String key,
    @Nullable List<@Nullable String> row) {}
