package org.pollenspar.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Suspends the use of a group's recorded primary while another database that has newly registered
 * as the primary may lead a newer term.
 *
 * <p>A call to promote a database may take effect after the change that made it has ended. The old
 * primary then accepts writes until it reaches the new one, and these writes are lost. The
 * registration of the promoted database reaches all hosts at once, long before a change asks them.
 *
 * <p>A claim is a registration as the primary that is newer than the record of the primary, by a
 * database that was a replica or was not registered before. Further registrations of a database
 * that is known to have registered as the primary are no claims, so the old primary of a change
 * suspends nothing by its heartbeats, also if its registration had lapsed meanwhile.
 *
 * <p>A claimant is asked for its status, again and again until the claim ends. It ends when
 *
 * <ul>
 *   <li>the claimant answers that it does not lead a term newer than the recorded one, after one
 *       round trip usually,
 *   <li>the claimant registers as a replica or its registration has lapsed, which bounds the
 *       suspension if the claimant cannot be asked, or
 *   <li>a later record of the primary is published. If the claimant does lead a newer term, the
 *       holder of the failover lease has the same registration and begins a change.
 * </ul>
 *
 * <p>Not thread-safe: all calls come from the thread that runs the {@link Timers}.
 */
public final class PrimaryClaims {
  /** Pause before a claimant is asked again that did not answer. */
  private static final long RETRY_MS = 300;

  /** Pause before a claimant is asked again that leads a newer term. */
  private static final long CONFIRMED_RETRY_MS = 1_000;

  private final PrimaryAuthority authority;
  private final DatabaseControl databases;
  private final Timers timers;
  private final ControlListener listener;
  private final Map<String, GroupClaims> groups = new HashMap<>();

  /** Creates an instance that knows no database. */
  public PrimaryClaims(
      PrimaryAuthority authority,
      DatabaseControl databases,
      Timers timers,
      ControlListener listener) {
    this.authority = authority;
    this.databases = databases;
    this.timers = timers;
    this.listener = listener;
  }

  /**
   * Applies a registration of a database.
   *
   * @param primary whether the database names itself the primary
   * @param revision revision of the store at which the registration was written
   */
  public void registered(String group, String database, boolean primary, long revision) {
    group(group).registered(database, primary, revision);
  }

  /** Ends the claims of databases of a group that are no longer registered. */
  public void databasesChanged(String group, Collection<String> registered) {
    group(group).retain(registered);
  }

  /** Must be called when the record of a group's primary has changed. */
  public void recordChanged(String group) {
    group(group).update("the record of the primary has changed");
  }

  private GroupClaims group(String name) {
    return groups.computeIfAbsent(name, GroupClaims::new);
  }

  /** The claims in one group. */
  private final class GroupClaims {
    private final String group;

    /**
     * Whether each database named itself the primary when it registered last. Those that did are
     * kept when their registration lapses: an old primary that registers again is no claimant.
     */
    private final Map<String, Boolean> primaries = new HashMap<>();

    private final Map<String, Claim> claims = new HashMap<>();
    private boolean reported;

    GroupClaims(String group) {
      this.group = group;
    }

    void registered(String database, boolean primary, long revision) {
      boolean before = Boolean.TRUE.equals(primaries.put(database, primary));
      if (!primary) {
        claims.remove(database);
        update(database + " has registered as a replica");
      } else if (!before) {
        claims.put(database, new Claim(this, database, revision));
        update("");
      }
    }

    void retain(Collection<String> registered) {
      primaries
          .entrySet()
          .removeIf(each -> !registered.contains(each.getKey()) && !isOldPrimary(each.getKey()));
      claims.keySet().retainAll(registered);
      update("the registration of the claimant has lapsed");
    }

    private boolean isOldPrimary(String database) {
      return Boolean.TRUE.equals(primaries.get(database)) && !claims.containsKey(database);
    }

    void end(Claim claim, String reason) {
      claims.remove(claim.database, claim);
      update(reason);
    }

    /** Discards claims that the record disproves, and asks the claimants of the others. */
    void update(String reason) {
      @Nullable PrimaryRecord record = authority.record(group);
      if (record == null) {
        return;
      }
      claims
          .values()
          .removeIf(
              claim ->
                  claim.database.equals(record.database())
                      || (!record.changing() && claim.revision < record.revision()));
      authority.suspend(group, !claims.isEmpty());
      report(record, reason);
      if (!record.changing()) {
        List.copyOf(claims.values()).forEach(Claim::ask);
      }
    }

    /** During a change the primary is not used anyway, so claims then are not reported. */
    private void report(PrimaryRecord record, String reason) {
      if (claims.isEmpty() && reported) {
        reported = false;
        listener.changed("primary_resumed", group, reason);
      } else if (!claims.isEmpty() && !reported && !record.changing()) {
        reported = true;
        List<String> claimants = new ArrayList<>(claims.keySet());
        listener.changed(
            "primary_suspended",
            group,
            record.database()
                + " in term "
                + record.term()
                + ", since "
                + claimants
                + " registered as primary");
      }
    }
  }

  /** A database that registered as the primary in place of the recorded one. */
  private final class Claim {
    private final GroupClaims owner;
    private final String database;
    private final long revision;
    private boolean asking;

    Claim(GroupClaims owner, String database, long revision) {
      this.owner = owner;
      this.database = database;
      this.revision = revision;
    }

    private boolean ended() {
      return owner.claims.get(database) != this;
    }

    void ask() {
      if (!asking && !ended()) {
        asking = true;
        databases.status(owner.group, database, this::answered);
      }
    }

    private void answered(DatabaseControl.@Nullable DatabaseStatus status) {
      @Nullable PrimaryRecord record = authority.record(owner.group);
      boolean disproved =
          status != null && record != null && !(status.primary() && status.term() > record.term());
      if (disproved) {
        asking = false;
        owner.end(this, database + " does not lead a newer term: " + status);
      } else {
        timers.after(
            status == null ? RETRY_MS : CONFIRMED_RETRY_MS,
            () -> {
              asking = false;
              ask();
            });
      }
    }
  }
}
