package org.pollenspar.edge.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * TCP keep-alive with short intervals: the operating system closes an idle connection about 3 s
 * after the other end has stopped answering, for example because its host lost power.
 */
public final class KeepAlive {
  private static final int IDLE_SECONDS = 1;
  private static final int INTERVAL_SECONDS = 1;
  private static final int MAX_UNANSWERED_PROBES = 2;

  private KeepAlive() {}

  /** Enables keep-alive probes on a TCP channel. */
  public static void enable(Channel channel) {
    channel.config().setOption(ChannelOption.SO_KEEPALIVE, true);
    channel
        .config()
        .setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), IDLE_SECONDS);
    channel
        .config()
        .setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_SECONDS);
    channel
        .config()
        .setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), MAX_UNANSWERED_PROBES);
  }
}
