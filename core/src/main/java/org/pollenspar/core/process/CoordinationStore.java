package org.pollenspar.core.process;

import java.util.List;
import java.util.function.Consumer;

/** The platform's key-value store with leases. Each callback is called exactly once. */
public interface CoordinationStore {
  /** How a call ended. */
  enum Status {
    /** It took effect, or the read succeeded. */
    DONE,
    /** A condition did not hold; nothing was changed. */
    CONFLICT,
    /** The key or lease does not exist. */
    NOT_FOUND,
    /** The store no longer keeps the events from the requested revision on. */
    COMPACTED,
    /** The store refused the call; nothing was done. */
    REFUSED,
    /** No answer arrived; the call may take effect, even seconds later. */
    UNKNOWN
  }

  /**
   * A key with its value.
   *
   * @param value the value; empty for a deleted key
   * @param revision revision of the store at the last change of the key
   * @param deleted whether this is the event of a deletion
   */
  record Item(String key, String value, long revision, boolean deleted) {}

  /**
   * The result of a call.
   *
   * @param items items read, or events in order
   * @param revision revision of the store after the call; of the change, for a transaction
   * @param lease lease that was granted
   */
  record Reply(Status status, List<Item> items, long revision, long lease) {
    public boolean done() {
      return status == Status.DONE;
    }
  }

  /** A condition: the key was last changed at this revision; 0 if it must not exist. */
  record Expectation(String key, long revision) {}

  /** A value to be written; the key is removed when the lease ends, unless the lease is 0. */
  record Put(String key, String value, long lease) {}

  /** Reads all keys below a prefix, linearizably. */
  void range(String prefix, Consumer<Reply> done);

  /**
   * Waits for changes below a prefix after a revision.
   *
   * @param waitMillis how long the store may wait for changes before it answers without any. A
   *     watch that the store keeps without delivering changes is noticed only then.
   */
  void watch(String prefix, long afterRevision, long waitMillis, Consumer<Reply> done);

  /** Changes keys if all conditions hold. */
  void transact(
      List<Expectation> expected, List<Put> puts, List<String> deletes, Consumer<Reply> done);

  /** Creates a lease; the reply names it. */
  void grantLease(long ttlMillis, Consumer<Reply> done);

  void renewLease(long lease, Consumer<Reply> done);

  /** Ends a lease and removes its keys. */
  void endLease(long lease, Consumer<Reply> done);
}
