package org.pollenspar.net.request;

import java.util.Map;

/**
 * A received HTTP request.
 *
 * @param method for example {@code POST}
 * @param path path without query
 * @param query query parameters
 * @param body body, already limited in size
 */
public record HttpCall(String method, String path, Map<String, String> query, String body) {}
