package org.pollenspar.proxy.request;

import org.pollenspar.core.connection.SessionToken;
import org.pollenspar.core.request.WorkRequest;

/**
 * A caller's request after every check that needs no database.
 *
 * @param request the work
 * @param session the caller's session, merged from all tokens sent
 * @param configVersion version of the applied file used for this request
 */
public record ParsedWork(WorkRequest request, SessionToken session, long configVersion) {}
