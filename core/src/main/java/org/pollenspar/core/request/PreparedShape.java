package org.pollenspar.core.request;

/**
 * What a prepared statement does. Two callers' statements of one shape are the same statement, so
 * connections keep them by shape and not by the callers' names.
 *
 * @param writes whether it changes data
 * @param shape the shape as the caller sent it
 */
public record PreparedShape(boolean writes, String shape) {}
