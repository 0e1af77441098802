package org.pollenspar.core.process;

import java.util.concurrent.TimeUnit;

/**
 * Stops a host without cutting off requests that can still finish.
 *
 * <ol>
 *   <li>The host reports at once that it isn't ready. It still serves new connections until the
 *       load balancer has noticed that.
 *   <li>Then it closes its port for callers, and closes each session as soon as it is idle.
 *   <li>After half of the grace time, transactions that wait for their caller are rolled back,
 *       statements that have not started are refused as not run, and each session is closed once
 *       its running statement is answered.
 *   <li>When no caller is connected and no statement of another host runs, at the latest shortly
 *       before the end of the grace time, the host refuses all work, unregisters and exits.
 * </ol>
 *
 * <p>Invariant: from the check that finds nothing in progress until the exit, nothing is passed on
 * to a database. It holds since the port is closed before the first check, and since the check and
 * the refusal of all further work run in one turn of the event loop. To exit as soon as no session
 * is open, with the port still open, would cut off requests: the balancer goes on sending callers
 * to hosts that are not ready while it has too few others.
 *
 * <p>Not thread-safe: all calls come from the event loop.
 */
public final class HostShutdown {
  /** Time after which the load balancer sends no new connections to a host that isn't ready. */
  private static final long BALANCER_DELAY_MS = 2_300;

  private static final long POLL_INTERVAL_MS = 100;

  /** Longest wait for the store's answer when the host unregisters. */
  private static final long UNREGISTER_TIMEOUT_MS = 200;

  /** Time in which statements that other hosts have sent already arrive and are declined. */
  private static final long DECLINE_MS = 100;

  /** Part of the grace time that is kept for the last steps and the exit of the process. */
  private static final long EXIT_RESERVE_MS =
      POLL_INTERVAL_MS + UNREGISTER_TIMEOUT_MS + DECLINE_MS + 100;

  /** What a shutdown does to the parts of a host. */
  public interface Host {
    /** Reports from now on that the host isn't ready, and takes no more work of other hosts. */
    void beginLeaving();

    /** Closes the port for callers; connections stay open. */
    void stopAccepting();

    /** Closes connections of callers that are idle, and all others as soon as they are. */
    void closeIdle();

    /**
     * Refuses all statements that have not started as not run, and rolls back transactions that
     * wait for their caller's next statement. May be called again.
     */
    void refuseNewWork();

    /** Returns whether no caller is connected and no statement of another host is in progress. */
    boolean drained();

    /** Removes the host from the members. */
    void unregister(Runnable done);

    /** Ends the process. */
    void exit();
  }

  private final Host host;
  private final Clocks clocks;
  private final Timers timers;
  private final ControlListener log;
  private final String name;
  private final long graceMillis;
  private long beganNanos;
  private boolean begun;
  private boolean exiting;

  /**
   * Prepares a shutdown.
   *
   * @param name name of the host, for the log
   * @param graceMillis time after {@link #begin} at which the process is killed
   */
  public HostShutdown(
      Host host, Clocks clocks, Timers timers, ControlListener log, String name, long graceMillis) {
    this.host = host;
    this.clocks = clocks;
    this.timers = timers;
    this.log = log;
    this.name = name;
    this.graceMillis = graceMillis;
  }

  /** Begins the shutdown; later calls have no effect. */
  public void begin() {
    if (begun) {
      return;
    }
    begun = true;
    beganNanos = clocks.steadyNanos();
    log.changed("stopping", name, "grace " + graceMillis + " ms");
    host.beginLeaving();
    timers.after(
        Math.min(BALANCER_DELAY_MS, graceMillis / 2),
        () -> {
          host.stopAccepting();
          drain();
        });
  }

  private void drain() {
    long elapsed = TimeUnit.NANOSECONDS.toMillis(clocks.steadyNanos() - beganNanos);
    host.closeIdle();
    if (elapsed >= graceMillis / 2) {
      host.refuseNewWork();
    }
    if (host.drained()) {
      leave("nothing was in progress");
    } else if (elapsed >= graceMillis - EXIT_RESERVE_MS) {
      leave("work in progress is cut off, since the grace time ends");
    } else {
      timers.after(POLL_INTERVAL_MS, this::drain);
    }
  }

  private void leave(String detail) {
    host.refuseNewWork();
    log.changed("drained", name, detail);
    host.unregister(() -> timers.after(DECLINE_MS, this::exit));
    timers.after(UNREGISTER_TIMEOUT_MS + DECLINE_MS, this::exit);
  }

  private void exit() {
    if (!exiting) {
      exiting = true;
      host.exit();
    }
  }
}
