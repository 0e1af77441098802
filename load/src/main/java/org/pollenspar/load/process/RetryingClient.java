package org.pollenspar.load.process;

import java.io.IOException;
import java.util.List;
import org.pollenspar.load.connection.LoadSession;
import org.pollenspar.load.request.LoadRequest;
import org.pollenspar.load.request.WorkAnswer;

/**
 * Sends a request until it is done, at most {@value #ATTEMPTS} times. Used before and after the
 * load, where a failed request would leave the run without its data or its verification.
 */
final class RetryingClient {
  private static final int ATTEMPTS = 240;
  private static final long PAUSE_MILLIS = 250;

  private final ProxyClient client;

  RetryingClient(ProxyClient client) {
    this.client = client;
  }

  WorkAnswer sendUntilDone(LoadRequest call, LoadSession session)
      throws IOException, InterruptedException {
    WorkAnswer answer = WorkAnswer.of(WorkAnswer.Outcome.UNKNOWN, "NOT_SENT");
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      List<String> sent = session.tokens();
      answer = client.send(call, sent, attempt > 0).join();
      if (answer.outcome() == WorkAnswer.Outcome.DONE) {
        session.accept(sent, answer.token());
        return answer;
      }
      Thread.sleep(PAUSE_MILLIS);
    }
    throw new IOException(
        "request of kind "
            + call.kind()
            + " was not done after "
            + ATTEMPTS
            + " attempts; last error: "
            + answer.error());
  }
}
