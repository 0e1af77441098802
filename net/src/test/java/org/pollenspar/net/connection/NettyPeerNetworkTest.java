package org.pollenspar.net.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pollenspar.core.process.Closer;
import org.pollenspar.core.process.HybridClock;
import org.pollenspar.wire.Envelope;
import org.pollenspar.wire.GroupReportMessage;
import org.pollenspar.wire.GroupReportRequestMessage;

/**
 * Guards against responses that complete the wrong request or arrive late, and against failures
 * that wrongly report whether the request was sent.
 */
class NettyPeerNetworkTest {
  private static final Duration LONG = Duration.ofSeconds(30);
  private static final long SERVER_MILLIS = 5_000_000;

  private final Closer closer = new Closer();
  private final HybridClock clientClock = new HybridClock(() -> 1);
  private final NettyPeerNetwork client =
      closer.register(
          new NettyPeerNetwork("client", clientClock, 2, 50, r -> new CompletableFuture<>()));
  private final Map<String, CompletableFuture<Envelope.Builder>> heldResponses =
      new ConcurrentHashMap<>();
  private final CountDownLatch received = new CountDownLatch(10);
  private final NettyPeerNetwork server =
      closer.register(
          new NettyPeerNetwork(
              "server", new HybridClock(() -> SERVER_MILLIS), 2, 50, this::answer));
  private final PeerAddress address;

  NettyPeerNetworkTest() {
    server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    address = new PeerAddress("server", "127.0.0.1", server.port());
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  private CompletionStage<Envelope.Builder> answer(Envelope request) {
    String group = request.getGroupReportRequest().getGroup();
    if (group.startsWith("held")) {
      CompletableFuture<Envelope.Builder> response =
          heldResponses.computeIfAbsent(group, g -> new CompletableFuture<>());
      received.countDown();
      return response;
    }
    return CompletableFuture.completedFuture(report(group));
  }

  private static Envelope.Builder report(String domain) {
    return Envelope.newBuilder().setGroupReport(GroupReportMessage.newBuilder().setDomain(domain));
  }

  private CompletableFuture<Envelope> ask(String group, Duration timeout) {
    return ask(address, group, timeout);
  }

  private CompletableFuture<Envelope> ask(PeerAddress to, String group, Duration timeout) {
    var body = GroupReportRequestMessage.newBuilder().setGroup(group);
    return client.request(to, Envelope.newBuilder().setGroupReportRequest(body), timeout);
  }

  private static PeerFailure failure(CompletableFuture<Envelope> future) {
    var thrown = assertThrows(CompletionException.class, future::join);
    return (PeerFailure) thrown.getCause();
  }

  @Test
  void responsesReachTheirRequestsInAnyOrder() throws Exception {
    List<CompletableFuture<Envelope>> asked = new ArrayList<>();
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      asked.add(ask("held" + i, LONG));
      order.add(i);
    }
    assertTrue(received.await(30, TimeUnit.SECONDS));
    Collections.reverse(order);
    order.forEach(i -> heldResponses.get("held" + i).complete(report("answer" + i)));
    for (int i = 0; i < 10; i++) {
      assertEquals("answer" + i, asked.get(i).join().getGroupReport().getDomain());
    }
    assertEquals(0, client.pendingRequests());
  }

  @Test
  void stampsOrderTheAnswerAfterTheServersEvents() {
    Envelope response = ask("a", LONG).join();
    assertEquals("server", response.getSender());
    assertTrue(clientClock.tick() > response.getHlc());
    assertEquals(SERVER_MILLIS, HybridClock.millis(clientClock.tick()));
  }

  @Test
  void aLateResponseIsDroppedAndCounted() {
    // Opens the connection first; the timeout of the next request would else include connecting.
    ask("b", LONG).join();
    PeerFailure failure = failure(ask("held", Duration.ofSeconds(2)));
    assertTrue(failure.maybeSent(), failure.getMessage());
    heldResponses.computeIfAbsent("held", g -> new CompletableFuture<>()).complete(report("late"));
    for (int i = 0; i < 1000 && client.droppedResponses() == 0; i++) {
      assertEquals("b", ask("b", LONG).join().getGroupReport().getDomain());
    }
    assertEquals(1, client.droppedResponses());
  }

  @Test
  void requestsThatWereNotWrittenAreReportedAsUnsent() throws Exception {
    int closedPort;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closedPort = socket.getLocalPort();
    }
    PeerAddress unreachablePeer = new PeerAddress("nobody", "127.0.0.1", closedPort);
    assertEquals(false, failure(ask(unreachablePeer, "a", LONG)).maybeSent());
    String large = "x".repeat(NettyPeerNetwork.MAX_FRAME_BYTES);
    assertEquals(false, failure(ask(large, LONG)).maybeSent());
    for (int i = 0; i < 50; i++) {
      var unused = ask("held" + i, LONG);
    }
    assertEquals(false, failure(ask("a", LONG)).maybeSent());
  }

  @Test
  void aClosedConnectionFailsItsRequestsAndIsOpenedAgain() throws Exception {
    List<CompletableFuture<Envelope>> asked = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      asked.add(ask("held" + i, LONG));
    }
    assertTrue(received.await(30, TimeUnit.SECONDS));
    server.close();
    asked.forEach(future -> assertTrue(failure(future).maybeSent()));
    try (var next = new NettyPeerNetwork("server", new HybridClock(() -> 1), 1, 50, this::answer)) {
      next.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), address.port()));
      assertEquals("a", ask("a", LONG).join().getGroupReport().getDomain());
    }
  }

  @Test
  void aFrameBeyondTheLimitClosesTheConnection() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.setSoTimeout(30_000);
      OutputStream out = socket.getOutputStream();
      out.write(new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0x7f, 1, 2});
      assertEquals(-1, socket.getInputStream().read());
    }
  }
}
