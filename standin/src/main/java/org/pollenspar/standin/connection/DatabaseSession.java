package org.pollenspar.standin.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.pollenspar.standin.connection.BackendWriter.Status;

/**
 * One connection to the database. The event loop receives messages. Queries block while they wait
 * for row locks and for a worker, so they run on another thread; those of one connection run one
 * after another, in the order received.
 */
final class DatabaseSession extends SimpleChannelInboundHandler<FrontendMessage> {
  private final DatabaseServerContext shared;
  private final QueryRunner runner;
  private final int processId;
  private final int secret = ThreadLocalRandom.current().nextInt();
  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private boolean running;

  /**
   * Whether an error was sent for the extended protocol, which ends only with the next Sync; used
   * by the event loop.
   */
  private boolean skippingToSync;

  private volatile boolean closed;
  private volatile @Nullable ChannelHandlerContext channelContext;

  DatabaseSession(DatabaseServerContext shared) {
    this.shared = shared;
    this.runner = new QueryRunner(shared.engine(), shared.workers());
    this.processId = shared.sessions().nextProcessId();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channelContext = context;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FrontendMessage message) {
    if (message instanceof FrontendMessage.Encryption) {
      context.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {'N'}));
    } else if (message instanceof FrontendMessage.Cancel cancel) {
      shared.sessions().cancel(cancel.processId(), cancel.secret());
      context.close();
    } else if (message instanceof FrontendMessage.Startup) {
      startUp(context);
    } else if (message instanceof FrontendMessage.Query query) {
      enqueue(() -> runQuery(context, query.sql()));
    } else if (message instanceof FrontendMessage.Unsupported unsupported) {
      rejectUnsupported(context, unsupported.type());
    } else if (message instanceof FrontendMessage.Sync) {
      sync(context);
    } else {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    // As in PostgreSQL, a running query continues after its client has disconnected; the rollback
    // is queued behind it.
    closed = true;
    enqueue(
        () -> {
          runner.close();
          shared.sessions().unregister(processId);
        });
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  void cancel(int givenSecret) {
    if (givenSecret == secret) {
      runner.cancel();
    }
  }

  void terminate() {
    ChannelHandlerContext context = channelContext;
    if (context != null) {
      context.executor().execute(() -> sendFatal(context, "57P01", "terminating connection"));
    }
  }

  private void startUp(ChannelHandlerContext context) {
    if (shared.faults().frozen) {
      return;
    }
    if (shared.faults().rejectConnections) {
      sendFatal(context, "57P03", "the database system is not accepting connections");
      return;
    }
    if (!shared.sessions().register(processId, this)) {
      sendFatal(context, "53300", "sorry, too many clients already");
      return;
    }
    Runnable accept =
        () -> {
          BackendWriter out = new BackendWriter(context.alloc().buffer());
          out.authenticationOk(processId, secret);
          out.readyForQuery(Status.IDLE);
          context.writeAndFlush(out.buffer());
        };
    context.executor().schedule(accept, shared.connectMillis(), TimeUnit.MILLISECONDS);
  }

  private static void sendFatal(ChannelHandlerContext context, String state, String message) {
    BackendWriter out = new BackendWriter(context.alloc().buffer());
    out.error("FATAL", state, message);
    context.writeAndFlush(out.buffer()).addListener(ChannelFutureListener.CLOSE);
  }

  private void rejectUnsupported(ChannelHandlerContext context, char type) {
    if (!skippingToSync) {
      skippingToSync = true;
      BackendWriter out = new BackendWriter(context.alloc().buffer());
      out.error("ERROR", "0A000", "message '" + type + "': only simple queries are supported");
      context.writeAndFlush(out.buffer());
    }
  }

  private void sync(ChannelHandlerContext context) {
    skippingToSync = false;
    BackendWriter out = new BackendWriter(context.alloc().buffer());
    out.readyForQuery(Status.IDLE);
    context.writeAndFlush(out.buffer());
  }

  private void runQuery(ChannelHandlerContext context, String sql) {
    if (closed) {
      return;
    }
    BackendWriter out = new BackendWriter(context.alloc().buffer());
    try {
      runner.run(sql, out);
      TimeUnit.MILLISECONDS.sleep(shared.faults().latencyMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      out.buffer().release();
      context.close();
      return;
    }
    sendWithFaults(context, out.buffer());
  }

  private void sendWithFaults(ChannelHandlerContext context, ByteBuf answer) {
    DatabaseFaults faults = shared.faults();
    if (faults.frozen) {
      answer.release();
    } else if (runner.committed() && DatabaseFaults.consume(faults.lostCommitAnswers)) {
      answer.release();
      context.close();
    } else if (DatabaseFaults.consume(faults.garbageAnswers)) {
      answer.release();
      context.writeAndFlush(Unpooled.wrappedBuffer(faults.nextGarbage()));
    } else if (DatabaseFaults.consume(faults.truncatedAnswers)) {
      answer.writerIndex(answer.readableBytes() / 2);
      context.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    } else {
      context.writeAndFlush(answer);
    }
  }

  private void enqueue(Runnable task) {
    synchronized (tasks) {
      tasks.add(task);
      if (running) {
        return;
      }
      running = true;
    }
    shared.threads().execute(this::runTasks);
  }

  private void runTasks() {
    while (true) {
      Runnable next;
      synchronized (tasks) {
        next = tasks.poll();
        if (next == null) {
          running = false;
          return;
        }
      }
      next.run();
    }
  }
}
