package org.pollenspar.edge.process;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.pollenspar.core.process.Timers;

/** Runs delayed tasks on an event loop. */
public final class EventLoopTimers implements Timers {
  private final EventLoop loop;

  /** Creates timers whose tasks run on this event loop. */
  public EventLoopTimers(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public Timer after(long delayMillis, Runnable task) {
    ScheduledFuture<?> future = loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    return () -> future.cancel(false);
  }
}
