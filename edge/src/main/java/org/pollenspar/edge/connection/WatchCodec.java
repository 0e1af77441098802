package org.pollenspar.edge.connection;

import java.util.ArrayList;
import java.util.List;
import org.pollenspar.core.process.CoordinationStore;
import org.pollenspar.wire.fleet.StoreEvent;
import org.pollenspar.wire.fleet.WatchAnswer;

/** Translates the events of the shared watch to and from messages between hosts. */
final class WatchCodec {
  /** The result of a poll to which no answer arrived. */
  static final CoordinationStore.Reply NO_ANSWER =
      new CoordinationStore.Reply(CoordinationStore.Status.UNKNOWN, List.of(), 0, 0);

  private WatchCodec() {}

  static WatchAnswer encode(CoordinationStore.Reply reply) {
    if (!reply.done()) {
      return WatchAnswer.newBuilder().setDeclined(true).build();
    }
    WatchAnswer.Builder answer = WatchAnswer.newBuilder().setRevision(reply.revision());
    for (CoordinationStore.Item item : reply.items()) {
      answer.addEvents(
          StoreEvent.newBuilder()
              .setKey(item.key())
              .setValue(item.value())
              .setRevision(item.revision())
              .setDeleted(item.deleted()));
    }
    return answer.build();
  }

  static CoordinationStore.Reply decode(WatchAnswer answer) {
    if (answer.getDeclined()) {
      return new CoordinationStore.Reply(CoordinationStore.Status.REFUSED, List.of(), 0, 0);
    }
    List<CoordinationStore.Item> items = new ArrayList<>();
    for (StoreEvent event : answer.getEventsList()) {
      items.add(
          new CoordinationStore.Item(
              event.getKey(), event.getValue(), event.getRevision(), event.getDeleted()));
    }
    return new CoordinationStore.Reply(
        CoordinationStore.Status.DONE, items, answer.getRevision(), 0);
  }
}
