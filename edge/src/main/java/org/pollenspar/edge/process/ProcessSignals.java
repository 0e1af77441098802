package org.pollenspar.edge.process;

import org.jspecify.annotations.Nullable;
import sun.misc.Signal;

/**
 * Receives SIGHUP and SIGTERM from the first statement of a program on.
 *
 * <p>Without a handler, SIGHUP ends the virtual machine. So {@link #install} precedes everything
 * that takes time or can fail, such as reading the settings, and signals are kept here until {@link
 * #handOver} names the host that acts on them. A SIGTERM before the hand-over ends the process at
 * once, as nothing has been served or registered.
 *
 * <p>Invariant: a host isn't started after its stop. The hand-over either precedes the SIGTERM,
 * which is then passed to the host, or returns false.
 *
 * <p>Thread-safe.
 */
public final class ProcessSignals {
  /** What a host does on a signal; called on the thread of the signal. */
  public interface Handler {
    /** Begins an orderly stop. */
    void stop();

    /** The settings file has changed. */
    void hangup();
  }

  private final Runnable exit;
  private @Nullable Handler handler;
  private boolean stopped;
  private boolean hangupPending;

  /**
   * Creates an instance that no signal reaches yet.
   *
   * @param exit ends a process whose host hasn't been started
   */
  ProcessSignals(Runnable exit) {
    this.exit = exit;
  }

  /** Handles the signals of this process from now on. */
  public static ProcessSignals install() {
    ProcessSignals signals = new ProcessSignals(ProcessSignals::exitBeforeStart);
    Signal.handle(new Signal("HUP"), signal -> signals.hangup());
    Signal.handle(new Signal("TERM"), signal -> signals.stop());
    return signals;
  }

  private static void exitBeforeStart() {
    System.err.println("Stopped by SIGTERM before the host was started.");
    System.exit(0);
  }

  /**
   * Passes signals to a host from now on, beginning with those that have arrived.
   *
   * @return false if the process was stopped before; the host must not be started then
   */
  public boolean handOver(Handler host) {
    boolean hangup;
    synchronized (this) {
      if (stopped) {
        return false;
      }
      handler = host;
      hangup = hangupPending;
    }
    if (hangup) {
      host.hangup();
    }
    return true;
  }

  void stop() {
    @Nullable Handler host;
    synchronized (this) {
      stopped = true;
      host = handler;
    }
    if (host == null) {
      exit.run();
    } else {
      host.stop();
    }
  }

  void hangup() {
    @Nullable Handler host;
    synchronized (this) {
      hangupPending = true;
      host = handler;
    }
    if (host != null) {
      host.hangup();
    }
  }
}
