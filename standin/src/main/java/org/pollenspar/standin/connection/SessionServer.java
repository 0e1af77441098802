package org.pollenspar.standin.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** TCP server that accepts connections to a database. */
public final class SessionServer implements AutoCloseable {
  private static final int EVENT_LOOPS = 2;
  private static final int BACKLOG = 1024;
  private static final int STOP_TIMEOUT_MILLIS = 500;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
  private final Channel listener;

  public SessionServer(InetSocketAddress address, DatabaseServerContext shared) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new FrontendDecoder(), new DatabaseSession(shared));
                  }
                });
    listener = bootstrap.bind(address).syncUninterruptibly().channel();
  }

  /** Returns the port in use, which the system chose if port 0 was requested. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    group
        .shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
  }
}
