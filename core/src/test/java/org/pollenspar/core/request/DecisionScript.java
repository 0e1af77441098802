package org.pollenspar.core.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.stream.Collectors;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.DatabaseState;
import org.pollenspar.core.connection.GroupTracker;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.connection.Primary;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.version.GroupSpec;

/**
 * Interpreter of scenario steps {@code "<ms> <verb> <words and name=value pairs>"}. Each step is
 * applied to the tracker, the admission queue, the router or the write state machine of one group
 * with the databases a, b and c; its result is returned as text. This proxy is in the failure
 * domain of c.
 *
 * <p>States are written {@code a=role:fencedTerm:logTerm:offset}, positions {@code term:offset},
 * times in milliseconds.
 */
final class DecisionScript {
  private static final long MILLI = 1_000_000L;
  private static final List<Rank> RANKS =
      List.of(new Rank(1, "1", 0, 50), new Rank(2, "2", 20, 50), new Rank(3, "3", 10, 50));

  private final GroupTracker tracker = new GroupTracker(new GroupSpec("g", databases(), 50));
  private final AdmissionQueue<String> queue = AdmissionQueue.ranked(RANKS);
  private final RetryBudget budget = new RetryBudget();
  private final Map<String, WriteStateMachine> writes = new HashMap<>();
  private final Map<String, Integer> load = new HashMap<>();
  private final Set<String> unavailable = new HashSet<>();

  private static List<String> databases() {
    return List.of("a", "b", "c");
  }

  /** One parsed step; {@code now} is in nanoseconds. */
  private record Step(long now, String verb, List<String> words, Map<String, String> pairs) {
    static Step parse(String text) {
      List<String> tokens = Arrays.asList(text.trim().split(" +"));
      List<String> rest = tokens.subList(2, tokens.size());
      Map<String, String> pairs =
          rest.stream()
              .filter(word -> word.contains("="))
              .map(word -> word.split("=", 2))
              .collect(Collectors.toMap(pair -> pair[0], pair -> pair[1]));
      List<String> words = rest.stream().filter(word -> !word.contains("=")).toList();
      return new Step(millis(tokens.get(0)), tokens.get(1), words, pairs);
    }

    long time(String name, long defaultNanos) {
      return pairs.containsKey(name) ? millis(pairs.get(name)) : defaultNanos;
    }

    int number(String name) {
      return Integer.parseInt(pairs.get(name));
    }

    Rank rank() {
      return RANKS.get(number("rank") - 1);
    }

    DatabaseState state() {
      String id = databases().stream().filter(pairs::containsKey).findFirst().orElseThrow();
      String[] parts = pairs.get(id).split(":");
      return new DatabaseState(
          id,
          DatabaseRole.ofWireName(parts[0]),
          Long.parseLong(parts[1]),
          Long.parseLong(parts[2]),
          Long.parseLong(parts[3]),
          1);
    }
  }

  String run(String text) {
    Step step = Step.parse(text);
    return switch (step.verb) {
      case "probe", "fail", "leaving", "primary", "held", "sample" -> group(step);
      case "load" -> String.valueOf(load.put(step.words.get(0), step.number("n")));
      case "unavailable" -> String.valueOf(unavailable.add(step.words.get(0)));
      case "read" ->
          render(
              ReadRouter.replicasFirst().choose(requirement(step), tracker, context(), step.now));
      case "accept" ->
          String.valueOf(
              ReadRouter.replicasFirst().acceptable(requirement(step), step.state(), tracker));
      case "write", "on", "succeeded", "budget" -> write(step);
      default -> queue(step);
    };
  }

  private String group(Step step) {
    switch (step.verb) {
      case "probe" -> tracker.observed(step.state(), step.time("sent", step.now), step.now);
      case "fail" -> tracker.failed(step.words.get(0), step.now);
      case "leaving" -> tracker.leaving(Set.copyOf(step.words));
      case "primary" -> {
        return tracker.primary().map(p -> p.databaseId() + "/" + p.term()).orElse("none");
      }
      case "held" -> {
        return String.valueOf(tracker.majorityHolds(position(step.words.get(0))));
      }
      default -> {
        OptionalLong sample = tracker.confirmedSampleNanos(step.words.get(0));
        return sample.isPresent() ? String.valueOf(sample.getAsLong() / MILLI) : "none";
      }
    }
    return "";
  }

  private RoutingContext context() {
    Map<String, String> domains = Map.of("a", "d1", "b", "d2", "c", "d3");
    return new RoutingContext(id -> !unavailable.contains(id), load, domains, "d3");
  }

  private static ReadRequirement requirement(Step step) {
    return new ReadRequirement(
        "g",
        position(step.pairs.getOrDefault("position", "0:0")),
        step.time("staleness", 0),
        step.time("arrival", step.now),
        step.time("deadline", step.now + 100 * MILLI));
  }

  private String queue(Step step) {
    switch (step.verb) {
      case "offer" -> {
        return render(queue.offer(step.words.get(0), step.rank(), deadline(step), step.now));
      }
      case "flood" -> {
        return flood(step);
      }
      case "poll" -> {
        return queue.poll(step.now).orElse("none");
      }
      case "expire" -> {
        return String.join(",", queue.expire(step.now));
      }
      case "drain" -> {
        return queue.drain().size() + " left " + queue.length();
      }
      case "ranks" -> queue.setRanks(step.words.stream().map(DecisionScript::rank).toList());
      case "put-back" -> queue.putBack(step.words.get(0), step.rank(), deadline(step), step.now);
      case "cancel" -> {
        return String.valueOf(queue.remove(step.words.get(0)));
      }
      case "completed" -> queue.completed(step.rank(), step.time("service", 0), step.now);
      case "slots" -> queue.setConcurrency(step.number("n"));
      case "serve" -> {
        return serve(step);
      }
      default -> throw new IllegalArgumentException("unknown step " + step);
    }
    return "";
  }

  /** Parses {@code level:floorPercent:queueLimit}. */
  private static Rank rank(String text) {
    int[] parts = Arrays.stream(text.split(":")).mapToInt(Integer::parseInt).toArray();
    return new Rank(parts[0], String.valueOf(parts[0]), parts[1], parts[2]);
  }

  private String flood(Step step) {
    int accepted = 0;
    for (int i = 0; i < step.number("count"); i++) {
      String item = "rank" + step.rank().level();
      if (queue.offer(item, step.rank(), deadline(step), step.now) instanceof Admission.Accepted) {
        accepted++;
      }
    }
    return "accepted " + accepted + " refused " + (step.number("count") - accepted);
  }

  /**
   * Serves one connection until the given time while the queues of the named ranks never run empty,
   * and returns the percentage of requests served per rank.
   */
  private String serve(Step step) {
    long service = step.time("service", MILLI);
    Map<String, Integer> served = new HashMap<>();
    int total = 0;
    for (long now = step.now; now < step.time("until", 0); now += service) {
      for (String level : step.words) {
        Rank rank = RANKS.get(Integer.parseInt(level) - 1);
        while (queue.length(rank) < 5) {
          queue.offer(level, rank, now + 1000 * service, now);
        }
      }
      String level = queue.poll(now).orElse("none");
      served.merge(level, 1, Integer::sum);
      total++;
      queue.completed(RANKS.get(Integer.parseInt(level) - 1), service, now + service);
    }
    int all = total;
    return step.words.stream()
        .map(level -> level + ":" + Math.round(100.0 * served.getOrDefault(level, 0) / all))
        .collect(Collectors.joining(" "));
  }

  private String write(Step step) {
    if (step.verb.equals("succeeded")) {
      for (int i = 0; i < step.number("count"); i++) {
        budget.succeeded(step.rank());
      }
      return "";
    }
    if (step.verb.equals("budget")) {
      return String.valueOf(budget.available(step.rank()));
    }
    String name = step.words.get(0);
    if (step.verb.equals("write")) {
      WorkKind kind = new WorkKind("k", step.rank(), Access.WRITE, 0, false, 1000);
      WorkRequest request =
          new WorkRequest(
              1,
              "g",
              kind,
              Optional.of("key"),
              step.words.contains("retry"),
              step.now,
              deadline(step),
              "s",
              Position.ZERO,
              List.of(new Statement(step.pairs.getOrDefault("sql", "x"), 1)));
      writes.put(name, new WriteStateMachine(request, budget));
      return "";
    }
    return render(writes.get(name).on(event(step), step.now));
  }

  private WriteEvent event(Step step) {
    PollensparError failure = PollensparError.of(ErrorKind.DATABASE_FAILED, "a", "cut");
    PollensparError rows = PollensparError.of(ErrorKind.ROW_COUNT_MISMATCH, 1, 0, 1);
    Map<String, LongFunction<WriteEvent>> factories = new HashMap<>();
    factories.put("busy", term -> new WriteEvent.KeyBusy());
    factories.put("matched", term -> new WriteEvent.StatementsMatched(new ArrayList<>()));
    factories.put("rejected", term -> new WriteEvent.StatementsRejected(rows));
    factories.put("majority", term -> new WriteEvent.MajorityHeld());
    factories.put("failed", term -> new WriteEvent.Failed(failure));
    factories.put("not-primary", term -> new WriteEvent.NotPrimary());
    factories.put("deadline", term -> new WriteEvent.DeadlinePassed());
    factories.put("refused", term -> new WriteEvent.Refused(failure, 100));
    factories.put("superseded", term -> new WriteEvent.Superseded(step.number("term")));
    factories.put("started", term -> new WriteEvent.Started(new Primary(step.words.get(2), term)));
    factories.put("opened", term -> new WriteEvent.Opened(step.state()));
    factories.put("committed", term -> new WriteEvent.Committed(step.state()));
    factories.put("found", term -> new WriteEvent.KeyFound(record(step, rows), step.state()));
    long term = Long.parseLong(step.pairs.getOrDefault("term", "0"));
    return factories.get(step.words.get(1)).apply(term);
  }

  private static KeyRecord record(Step step, PollensparError rows) {
    String sql = step.pairs.getOrDefault("sql", "x");
    KeyRecord.Result result =
        step.words.contains("not-run")
            ? new KeyRecord.Result.NotRun(rows)
            : new KeyRecord.Result.Ran(List.of());
    return new KeyRecord(Fingerprint.of("k", List.of(new Statement(sql, 1))), result);
  }

  private static long deadline(Step step) {
    return step.time("deadline", step.now + 1000 * MILLI);
  }

  private static long millis(String text) {
    return Long.parseLong(text) * MILLI;
  }

  private static Position position(String text) {
    String[] parts = text.split(":");
    return new Position(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
  }

  private static String render(Admission admission) {
    return admission instanceof Admission.Refused refused
        ? refused.kind()
            + " wait="
            + refused.expectedWaitMillis()
            + " retry="
            + refused.retryAfterMillis()
        : "accepted";
  }

  private static String render(RouteDecision decision) {
    if (decision instanceof RouteDecision.Use use) {
      return "use " + use.databaseId() + " " + use.role().wireName();
    }
    return decision instanceof RouteDecision.Wait wait
        ? "wait " + wait.untilNanos() / MILLI
        : "refuse " + ((RouteDecision.Refuse) decision).kind();
  }

  private static String render(WriteDecision decision) {
    if (decision instanceof WriteDecision.TryAgain again) {
      return "again retry=" + again.retry() + " term=" + again.minimumTerm();
    } else if (decision instanceof WriteDecision.AwaitMajority await) {
      return "await " + await.position().term() + ":" + await.position().offset();
    } else if (decision instanceof WriteDecision.Answer answer) {
      return answer.outcome() instanceof Outcome.NotRun notRun
          ? "NotRun " + notRun.error().kind()
          : answer.outcome().getClass().getSimpleName();
    }
    return decision.getClass().getSimpleName();
  }
}
