package org.pollenspar.edge.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a host that is started after its stop, and against signals that are lost. */
class ProcessSignalsTest {
  private final List<String> calls = new ArrayList<>();
  private final ProcessSignals signals = new ProcessSignals(() -> calls.add("exit"));

  /** Records the calls. */
  private final class RecordingHandler implements ProcessSignals.Handler {
    @Override
    public void stop() {
      calls.add("stop");
    }

    @Override
    public void hangup() {
      calls.add("hangup");
    }
  }

  @Test
  void aHostIsNotStartedAfterItsStop() {
    signals.stop();
    assertFalse(signals.handOver(new RecordingHandler()));
    assertEquals(List.of("exit"), calls);
  }

  @Test
  void aStartedHostIsStoppedInOrder() {
    assertTrue(signals.handOver(new RecordingHandler()));
    signals.stop();
    assertEquals(List.of("stop"), calls);
  }

  @Test
  void hangupsBeforeTheStartAreReportedOnce() {
    signals.hangup();
    signals.hangup();
    assertTrue(signals.handOver(new RecordingHandler()));
    assertEquals(List.of("hangup"), calls);
    signals.hangup();
    assertEquals(List.of("hangup", "hangup"), calls);
  }
}
