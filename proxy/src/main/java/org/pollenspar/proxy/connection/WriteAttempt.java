package org.pollenspar.proxy.connection;

/**
 * Identifies one attempt of a write for its steps.
 *
 * @param databaseId database that the attempt runs on
 * @param key idempotency key
 * @param fingerprint fingerprint of the request
 */
record WriteAttempt(String databaseId, String key, String fingerprint) {}
