package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are cut off because a stopping process still accepts callers or
 * statements between its last check and its exit.
 */
class HostShutdownTest {
  private static final long GRACE_MS = 6_000;

  private final FakeTime time = new FakeTime();
  private final List<String> steps = new ArrayList<>();
  private boolean drained;
  private boolean unregisters = true;
  private final HostShutdown shutdown =
      new HostShutdown(
          new RecordingHost(), time, time, (event, subject, detail) -> {}, "host", GRACE_MS);

  /** Records each step once. */
  private final class RecordingHost implements HostShutdown.Host {
    private void step(String name) {
      if (!steps.contains(name)) {
        steps.add(name);
      }
    }

    @Override
    public void beginLeaving() {
      step("leave");
    }

    @Override
    public void stopAccepting() {
      step("stop accepting");
    }

    @Override
    public void closeIdle() {
      step("close idle");
    }

    @Override
    public void refuseNewWork() {
      step("refuse");
    }

    @Override
    public boolean drained() {
      step("check");
      return drained;
    }

    @Override
    public void unregister(Runnable done) {
      step("unregister");
      if (unregisters) {
        time.after(5, done);
      }
    }

    @Override
    public void exit() {
      step("exit");
    }
  }

  @Test
  void thePortIsClosedBeforeTheCheckAndAllWorkRefusedBeforeTheExit() {
    drained = true;
    shutdown.begin();
    time.advance(GRACE_MS);
    assertEquals(
        List.of("leave", "stop accepting", "close idle", "check", "refuse", "unregister", "exit"),
        steps);
  }

  @Test
  void callersAreAcceptedUntilTheBalancerHasNoticed() {
    shutdown.begin();
    time.advance(2_200);
    assertEquals(List.of("leave"), steps);
  }

  @Test
  void theHostStaysUntilTheLastCallerHasLeft() {
    shutdown.begin();
    time.advance(2_900);
    assertFalse(steps.contains("refuse"), steps.toString());
    time.advance(200);
    assertTrue(steps.contains("refuse"), steps.toString());
    time.advance(2_000);
    assertFalse(steps.contains("unregister"), steps.toString());
    drained = true;
    time.advance(300);
    assertTrue(steps.contains("exit"), steps.toString());
  }

  @Test
  void theHostExitsBeforeItIsKilled() {
    unregisters = false;
    shutdown.begin();
    time.advance(GRACE_MS - 1);
    assertTrue(steps.contains("exit"), steps.toString());
  }

  @Test
  void aSecondSignalChangesNothing() {
    shutdown.begin();
    time.advance(2_250);
    shutdown.begin();
    time.advance(100);
    assertTrue(steps.contains("stop accepting"), steps.toString());
  }
}
