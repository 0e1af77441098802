package org.pollenspar.core.process;

import java.util.List;
import java.util.function.Consumer;

/** A store of which tests override the calls that they use. */
class UnusedStore implements CoordinationStore {
  @Override
  public void range(String prefix, Consumer<Reply> done) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void watch(String prefix, long afterRevision, long waitMillis, Consumer<Reply> done) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void transact(
      List<Expectation> expected, List<Put> puts, List<String> deletes, Consumer<Reply> done) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void grantLease(long ttlMillis, Consumer<Reply> done) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void renewLease(long lease, Consumer<Reply> done) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void endLease(long lease, Consumer<Reply> done) {
    throw new UnsupportedOperationException();
  }
}
