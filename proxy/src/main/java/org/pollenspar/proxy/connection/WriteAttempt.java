package org.pollenspar.proxy.connection;

/**
 * What the steps of one write need to know of it.
 *
 * @param databaseId database of the attempt
 * @param key idempotency key
 * @param fingerprint fingerprint of the request
 */
record WriteAttempt(String databaseId, String key, String fingerprint) {}
