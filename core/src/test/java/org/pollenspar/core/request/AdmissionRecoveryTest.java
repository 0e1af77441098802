package org.pollenspar.core.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a queue that refuses requests forever after a failure. While a database does not
 * answer, requests end at their deadline, so the smoothed service time rises above every deadline.
 * If all further requests were refused, none would run and the service time would never fall again.
 */
class AdmissionRecoveryTest {
  private static final long MILLI = 1_000_000L;
  private static final long DEADLINE = 800 * MILLI;
  private static final Rank URGENT = new Rank(1, "urgent", 20, 100);

  private final AdmissionQueue<Integer> queue = AdmissionQueue.ranked(List.of(URGENT));

  /** Requests at a database that does not answer end slightly after their deadline. */
  private void recordTimeouts(int timeouts) {
    for (int i = 0; i < timeouts; i++) {
      queue.completed(URGENT, DEADLINE + 5 * MILLI, i * MILLI);
    }
  }

  @Nested
  class AfterManyTimeouts {

    /** Only a request that runs can lower the smoothed service time. */
    @Test
    void acceptsARequestWhenNoneWaits() {
      recordTimeouts(200);
      assertInstanceOf(Admission.Accepted.class, queue.offer(1, URGENT, DEADLINE, 0));
      assertEquals(Optional.of(1), queue.poll(MILLI));
    }

    @Test
    void acceptsAgainAfterFastAnswers() {
      recordTimeouts(200);
      long now = 0;
      int accepted = 0;
      for (int i = 0; i < 400; i++) {
        now += 10 * MILLI;
        if (queue.offer(i, URGENT, now + DEADLINE, now) instanceof Admission.Accepted) {
          accepted++;
        }
        queue.poll(now).ifPresent(item -> queue.completed(URGENT, 10 * MILLI, 0));
      }
      assertTrue(accepted > 390, "accepted " + accepted);
    }
  }

  /** A request that cannot finish in time would take a connection from one that can. */
  @Nested
  class TooLateToFinish {

    @Test
    void isDroppedBeforeItRunsIfOthersWait() {
      for (int i = 0; i < 100; i++) {
        queue.completed(URGENT, 30 * MILLI, 0);
      }
      queue.setConcurrency(8);
      queue.offer(1, URGENT, 200 * MILLI, 0);
      queue.offer(2, URGENT, 900 * MILLI, 0);
      assertEquals(Optional.of(2), queue.poll(180 * MILLI));
      assertEquals(List.of(1), queue.expire(180 * MILLI));
    }
  }
}
