package org.pollenspar.core.request;

/**
 * The definition of a prepared statement: its text without arguments, and whether it changes data.
 *
 * <p>Pooled connections cache prepared statements by definition instead of by the names that
 * callers give them, so that callers that prepare the same statement share it.
 *
 * @param writes whether the statement changes data
 * @param shape text of the statement, exactly as the caller sent it
 */
public record PreparedShape(boolean writes, String shape) {}
