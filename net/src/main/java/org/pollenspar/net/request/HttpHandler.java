package org.pollenspar.net.request;

import java.util.concurrent.CompletionStage;

/** Answers HTTP requests. Called on a server thread; must not block. */
@FunctionalInterface
public interface HttpHandler {

  /** Returns the reply; a failed stage is answered with status 500. */
  CompletionStage<HttpReply> handle(HttpCall call);
}
