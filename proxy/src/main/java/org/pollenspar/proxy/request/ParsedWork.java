package org.pollenspar.proxy.request;

import org.pollenspar.core.connection.SessionToken;
import org.pollenspar.core.request.WorkRequest;

/**
 * A caller's request that has passed all checks that need no database.
 *
 * @param request the request
 * @param session the caller's session, merged from all session tokens sent
 * @param configVersion configuration version that the request is executed with
 */
public record ParsedWork(WorkRequest request, SessionToken session, long configVersion) {}
