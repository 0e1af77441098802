package org.pollenspar.core.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.CoordinationStore.Reply;
import org.pollenspar.core.process.CoordinationStore.Status;

/**
 * Guards against a renewal that is reported although no call to the store was sent after it was
 * requested, and against calls to the store that grow with the hosts of a failure domain.
 */
class SharedRenewalTest {
  private static final long LEASE = 7;
  private static final int HOSTS = 16;

  private final FakeTime time = new FakeTime();
  private final Map<String, SharedRenewal> renewals = new TreeMap<>();
  private final List<Long> callTimes = new ArrayList<>();
  private final List<Consumer<Reply>> unanswered = new ArrayList<>();
  private boolean storeAnswers = true;
  private boolean membersAnswer = true;

  /** A store on which only renewals are used; each is answered after 4 ms. */
  private final class Store extends UnusedStore {
    @Override
    public void renewLease(long lease, Consumer<Reply> done) {
      callTimes.add(now());
      if (storeAnswers) {
        time.after(4, () -> done.accept(new Reply(Status.DONE, List.of(), 0, lease)));
      } else {
        unanswered.add(done);
      }
    }
  }

  /** Messages that arrive after 1 ms each way. */
  private final class Messages extends UnusedMessages {
    @Override
    public void renew(Member member, long lease, Consumer<Boolean> done) {
      if (membersAnswer) {
        time.after(
            1,
            () ->
                renewals
                    .get(member.name())
                    .renewForMember(lease, renewed -> time.after(1, () -> done.accept(renewed))));
      }
    }
  }

  private long now() {
    return time.steadyNanos() / 1_000_000;
  }

  @BeforeEach
  void startHosts() {
    FleetTable table = new FleetTable(new PrimaryAuthority(new Confirmation(time)), time);
    for (int i = 0; i < HOSTS; i++) {
      Member member = new Member("host" + i, "host" + i, "1", "a", 1_000, false);
      table.apply(
          new CoordinationStore.Item(
              ControlKeys.member(member.name()), ControlKeys.encode(member), i + 1L, false));
      renewals.put(
          member.name(),
          new SharedRenewal(new Store(), table, new Messages(), time, time, member, 8));
    }
  }

  /** Renews each second, as hosts do; the first renewals come at different times. */
  private void renewRegularly(SharedRenewal renewal) {
    renewal.renew(
        LEASE,
        false,
        reply -> {
          assertTrue(reply.done());
          time.after(1_000, () -> renewRegularly(renewal));
        });
  }

  @Test
  void aDomainNeedsOneCallForEachInterval() {
    int i = 0;
    for (SharedRenewal renewal : renewals.values()) {
      time.after(i++ * 60L, () -> renewRegularly(renewal));
    }
    time.advance(5_000);
    callTimes.clear();
    time.advance(20_000);
    assertTrue(callTimes.size() <= 20, "calls in 20 s: " + callTimes.size());
  }

  @Test
  void eachPositiveAnswerFollowsACallSentAfterTheRequest() {
    int i = 0;
    for (SharedRenewal renewal : renewals.values()) {
      time.after(
          i++ * 37L,
          () -> {
            long requested = now();
            renewal.renew(
                LEASE,
                false,
                reply ->
                    assertTrue(
                        callTimes.stream().anyMatch(at -> at >= requested),
                        "requested at " + requested + ", calls at " + callTimes));
          });
    }
    time.advance(5_000);
  }

  @Test
  void aRequestDuringACallNeedsAnotherCall() {
    SharedRenewal renewing = renewals.get("host0");
    storeAnswers = false;
    renewing.renewForMember(LEASE, renewed -> {});
    time.advance(200);
    assertEquals(1, unanswered.size());
    List<Boolean> answers = new ArrayList<>();
    renewing.renewForMember(LEASE, answers::add);
    unanswered.get(0).accept(new Reply(Status.DONE, List.of(), 0, LEASE));
    assertTrue(answers.isEmpty());
    storeAnswers = true;
    time.advance(1_000);
    assertEquals(List.of(true), answers);
    assertEquals(2, callTimes.size());
  }

  @Test
  void aHostRenewsItselfIfTheMemberIsSilent() {
    membersAnswer = false;
    List<Reply> replies = new ArrayList<>();
    renewals.values().forEach(renewal -> renewal.renew(LEASE, false, replies::add));
    time.advance(1_600);
    assertEquals(HOSTS, replies.size());
    assertTrue(replies.stream().allMatch(Reply::done));
  }

  @Test
  void aHostRenewsItselfIfTheStoreRefusesTheMember() {
    List<Reply> replies = new ArrayList<>();
    storeAnswers = false;
    renewals.values().forEach(renewal -> renewal.renew(LEASE, false, replies::add));
    time.advance(200);
    assertEquals(1, unanswered.size());
    unanswered.get(0).accept(new Reply(Status.REFUSED, List.of(), 0, 0));
    storeAnswers = true;
    time.advance(50);
    // The renewing member itself has the answer of its own call.
    assertEquals(HOSTS - 1, replies.stream().filter(Reply::done).count());
  }

  @Test
  void anUrgentRenewalGoesToTheStoreAtOnce() {
    List<Reply> replies = new ArrayList<>();
    renewals.values().forEach(renewal -> renewal.renew(LEASE, true, replies::add));
    time.advance(10);
    assertEquals(HOSTS, replies.size());
  }
}
