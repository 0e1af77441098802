package org.pollenspar.standin.process;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the calls that the platform receives, by kind of call. */
final class CallCounters {
  private final ConcurrentSkipListMap<String, LongAdder> counts = new ConcurrentSkipListMap<>();

  void count(String kind) {
    counts.computeIfAbsent(kind, k -> new LongAdder()).increment();
  }

  ObjectNode toJson() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    counts.forEach((kind, count) -> node.put(kind, count.sum()));
    return node;
  }
}
