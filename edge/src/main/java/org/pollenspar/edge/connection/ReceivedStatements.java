package org.pollenspar.edge.connection;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.CallerBackpressure;
import org.pollenspar.core.connection.ForwardOutcome;
import org.pollenspar.core.connection.ForwardedRequest;
import org.pollenspar.core.connection.ForwardedWork;
import org.pollenspar.wire.fleet.FleetEnvelope;

/**
 * Runs the statements that the host at the other end of a connection forwards, and sends their
 * answers. Answers that the other host has not received are counted; if they take too much of the
 * memory, the connection is closed, as the other host is stopped or cut off.
 */
final class ReceivedStatements {
  private final ForwardedWork work;
  private final CallerBackpressure.HeldBytes unsentAnswers;

  /**
   * Creates the statements of a new connection.
   *
   * @param closeConnection closes the connection
   */
  ReceivedStatements(ForwardedWork work, Runnable closeConnection) {
    this.work = work;
    this.unsentAnswers = work.unsentAnswers(closeConnection);
  }

  void run(ChannelHandlerContext active, FleetEnvelope message) {
    long id = message.getRequestId();
    Consumer<ForwardOutcome> answer =
        outcome ->
            send(
                active,
                FleetEnvelope.newBuilder()
                    .setRequestId(id)
                    .setForwardAnswer(ForwardCodec.encode(outcome))
                    .build());
    @Nullable ForwardedRequest request = ForwardCodec.decode(message.getForwardRequest());
    if (request == null) {
      answer.accept(
          ForwardOutcome.unanswered(
              ForwardOutcome.Kind.DECLINED, "the home host doesn't know this kind of statement"));
    } else {
      work.run(id, request, message.getForwardRequest().getSerializedSize(), answer);
    }
  }

  private void send(ChannelHandlerContext active, FleetEnvelope answer) {
    ChannelFuture written = active.writeAndFlush(answer);
    if (!written.isDone()) {
      int bytes = answer.getSerializedSize();
      unsentAnswers.add(bytes);
      written.addListener(done -> unsentAnswers.remove(bytes));
    }
  }

  void end(long id) {
    work.end(id);
  }

  /** Ends everything, because the connection has ended. */
  void close() {
    work.close();
    unsentAnswers.closed();
  }
}
