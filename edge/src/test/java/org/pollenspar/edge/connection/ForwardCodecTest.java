package org.pollenspar.edge.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenspar.core.connection.ForwardOutcome;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.TransactionState;

/** Guards against outcomes that differ at the host that forwarded the statement. */
class ForwardCodecTest {
  /** Guards against answers of homes of which a part is lost on the way. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void answersArriveAsTheyWereSent(boolean earlierMayHaveRun) throws Exception {
    Answer answer =
        new Answer(
            AnswerCode.BUSY,
            List.of("a", "b c"),
            "retry in 40 ms",
            TransactionState.FAILED,
            new Position(3, 1L << 40),
            earlierMayHaveRun);
    ForwardOutcome outcome = new ForwardOutcome(ForwardOutcome.Kind.UNREACHABLE, answer);
    byte[] sent = ForwardCodec.encode(outcome).toByteArray();
    assertEquals(
        outcome, ForwardCodec.decode(org.pollenspar.wire.fleet.ForwardAnswer.parseFrom(sent)));
  }
}
