package org.pollenspar.edge.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.pollenspar.core.connection.CallerBackpressure;
import org.pollenspar.core.connection.ForwardedWork;
import org.pollenspar.core.connection.SessionContext;
import org.pollenspar.core.process.CoordinationStore.Item;
import org.pollenspar.core.process.CoordinationStore.Reply;
import org.pollenspar.core.process.CoordinationStore.Status;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.version.RouteTable;

/** Guards against events of the shared watch that change or get lost between two hosts. */
class WatchMessagesTest {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void close() {
    group.shutdownGracefully();
  }

  static List<Reply> replies() {
    return List.of(
        new Reply(Status.DONE, List.of(), 7, 0),
        new Reply(
            Status.DONE,
            List.of(
                new Item("servers/é", "{\"a\":\"\u0000\uD83D\uDE00\"}", Long.MAX_VALUE - 1, false),
                new Item("op/config", "", Long.MAX_VALUE, true)),
            Long.MAX_VALUE,
            0),
        new Reply(Status.REFUSED, List.of(), 0, 0));
  }

  /** Handles polls with this reply if they arrive intact; no other requests are sent. */
  private static FleetRequestHandler handler(Reply reply) {
    return (FleetRequestHandler)
        Proxy.newProxyInstance(
            WatchMessagesTest.class.getClassLoader(),
            new Class<?>[] {FleetRequestHandler.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("watch")) {
                assertEquals(List.of(1L << 40, 750L), List.of(arguments[0], arguments[1]));
                @SuppressWarnings("unchecked")
                Consumer<Reply> done = (Consumer<Reply>) arguments[2];
                done.accept(reply);
                return null;
              }
              SessionContext unused =
                  new SessionContext(() -> RouteTable.EMPTY, name -> null, null, null, null);
              return new ForwardedWork(
                  unused,
                  name -> null,
                  () -> false,
                  work -> {},
                  new CallerBackpressure(new CallerBackpressure.Limits(0, 0, 0, 0)));
            });
  }

  private Reply poll(FleetTransport transport, int port)
      throws InterruptedException, ExecutionException {
    Member member = new Member("m", "127.0.0.1:" + port, "1", "a", 1_000, false);
    CompletableFuture<Reply> received = new CompletableFuture<>();
    group.next().execute(() -> transport.watch(member, 1L << 40, 750, received::complete));
    return received.get();
  }

  @ParameterizedTest
  @MethodSource("replies")
  void arriveAsTheyWereSent(Reply reply) throws Exception {
    FleetTransport transport = new FleetTransport(group, group.next(), handler(reply));
    InetSocketAddress address =
        (InetSocketAddress) transport.listen("127.0.0.1", 0).sync().channel().localAddress();
    assertEquals(reply, poll(transport, address.getPort()));
  }

  @Test
  void toAHostThatIsNotThereEndWithoutAnAnswer() throws Exception {
    FleetTransport transport = new FleetTransport(group, group.next(), handler(replies().get(0)));
    assertEquals(Status.UNKNOWN, poll(transport, 1).status());
  }
}
