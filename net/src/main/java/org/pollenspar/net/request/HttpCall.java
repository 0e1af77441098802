package org.pollenspar.net.request;

import java.util.Map;

/**
 * A received HTTP request.
 *
 * @param method for example {@code POST}
 * @param path path without query
 * @param query query parameters
 * @param body body, within the size limit of the listener
 */
public record HttpCall(String method, String path, Map<String, String> query, String body) {}
