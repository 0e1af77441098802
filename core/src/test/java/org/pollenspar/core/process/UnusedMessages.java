package org.pollenspar.core.process;

import java.util.function.Consumer;

/** Messages of which tests override those that they use. */
class UnusedMessages implements FleetMessages {
  @Override
  public void revoke(Member member, String group, long revision, Consumer<Boolean> done) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void ping(Member member, Consumer<Boolean> done) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void confirmsStoreOutage(Member member, long lease, Consumer<Boolean> done) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void renew(Member member, long lease, Consumer<Boolean> done) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void watch(
      Member member, long afterRevision, long waitMillis, Consumer<CoordinationStore.Reply> done) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void reaches(Member member, String group, String database, Consumer<Boolean> done) {
    throw new UnsupportedOperationException();
  }
}
