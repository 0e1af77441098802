package org.pollenspar.net.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparException;
import org.pollenspar.net.request.HttpCall;
import org.pollenspar.net.request.HttpHandler;
import org.pollenspar.net.request.HttpReply;

/**
 * Guards against slow callers that occupy the listener's threads, and against replies that are lost
 * or reach the wrong request.
 */
class HttpServiceTest {
  private static final int LIMIT = 1000;
  private static final int SOCKET_TIMEOUT_MS = 20_000;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final CompletableFuture<HttpReply> pendingReply = new CompletableFuture<>();
  private HttpService service = service(Duration.ofSeconds(10), this::answer);

  private static HttpService service(Duration readTimeout, HttpHandler handler) {
    HttpService service =
        new HttpService(
            "test",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            LIMIT,
            readTimeout,
            1,
            handler);
    service.start();
    return service;
  }

  private CompletionStage<HttpReply> answer(HttpCall call) {
    return switch (call.path()) {
      case "/throw" -> throw new IllegalStateException("handler failed");
      case "/fail" -> CompletableFuture.failedFuture(new IllegalStateException("handler failed"));
      case "/held" -> pendingReply;
      default ->
          CompletableFuture.supplyAsync(
              () ->
                  HttpReply.text(
                      200,
                      call.method() + " " + call.path() + " " + call.query() + " " + call.body()));
    };
  }

  @AfterEach
  void stop() {
    service.close();
  }

  private URI uri(String path) {
    return URI.create("http://127.0.0.1:" + service.port() + path);
  }

  private HttpResponse<String> post(String path, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(uri(path)).POST(HttpRequest.BodyPublishers.ofString(body)).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private Socket connect(String text) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), service.port());
    socket.setSoTimeout(SOCKET_TIMEOUT_MS);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static String readToEnd(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  /** Guards against wrong decoding, replies to the wrong request and unbounded bodies. */
  @Nested
  class Requests {
    @ParameterizedTest
    @CsvSource({
      "/kv/a/b?after=3&wait_ms=5, x, '200, POST /kv/a/b {after=3, wait_ms=5} x'",
      "/kv/a%2Fb?q=%C3%A1+b&flag, é, '200, POST /kv/a/b {q=á b, flag=} é'",
      "/throw, x, '500, {\"error\": {\"message\": \"java.lang.IllegalStateException: handler"
          + " failed\"}}'",
      "/fail, x, '500, {\"error\": {\"message\": \"java.lang.IllegalStateException: handler"
          + " failed\"}}'"
    })
    void areAnswered(String path, String body, String expected) throws Exception {
      HttpResponse<String> response = post(path, body);
      assertEquals(expected, response.statusCode() + ", " + response.body());
    }

    @Test
    void pipelinedOnOneConnectionAreAnsweredInOrder() throws Exception {
      String request = "GET /%d HTTP/1.1\r\nHost: x\r\n%s\r\n";
      String all = request.formatted(1, "") + request.formatted(2, "Connection: close\r\n");
      try (Socket socket = connect(all)) {
        String answers = readToEnd(socket);
        assertTrue(
            answers.indexOf("GET /1") >= 0 && answers.indexOf("GET /1") < answers.indexOf("GET /2"),
            answers);
      }
    }

    @Test
    void beyondTheLimitAreRefusedWithTheErrorKind() throws Exception {
      HttpResponse<String> response = post("/", "x".repeat(LIMIT + 1));
      assertEquals(413, response.statusCode());
      assertTrue(response.body().contains(ErrorKind.BODY_TOO_LARGE.name()), response.body());
      assertEquals(200, post("/", "x".repeat(LIMIT)).statusCode());
    }

    @Test
    void thatAskBeforeSendingTheBodyAreToldToContinue() throws Exception {
      HttpRequest request =
          HttpRequest.newBuilder(uri("/e"))
              .expectContinue(true)
              .POST(HttpRequest.BodyPublishers.ofString("x"))
              .build();
      assertEquals(
          "POST /e {} x", client.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    /**
     * Guards against requests that stay unanswered because they offer an upgrade: without the body
     * collector, Grizzly waits for the end of their connection.
     */
    @ParameterizedTest
    @CsvSource({"GET, ''", "POST, x", "POST, ''"})
    void thatOfferAnUpgradeAreAnsweredAsPlainHttp(String method, String body) throws Exception {
      HttpClient http2 = HttpClient.newHttpClient();
      HttpRequest request =
          HttpRequest.newBuilder(uri("/u"))
              .method(method, HttpRequest.BodyPublishers.ofString(body))
              .build();
      for (int i = 0; i < 2; i++) {
        assertEquals(
            method + " /u {} " + body,
            http2.send(request, HttpResponse.BodyHandlers.ofString()).body());
      }
    }

    /**
     * Repeated because a body collector that uses Grizzly's asynchronous stream loses one such
     * request in eight.
     */
    @RepeatedTest(20)
    void chunkedBeyondTheLimitAreRefused() throws Exception {
      byte[] part = new byte[LIMIT / 2];
      HttpRequest request =
          HttpRequest.newBuilder(uri("/"))
              .POST(HttpRequest.BodyPublishers.ofByteArrays(List.of(part, part, part)))
              .build();
      assertEquals(413, client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode());
    }

    /** Guards against requests that stay unanswered when chunks arrive in several packets. */
    @ParameterizedTest
    @CsvSource({
      "1, 998, 200",
      "7, 998, 200",
      "400, 998, 200",
      "990, 998, 200",
      "1, 1000, 413",
      "7, 1000, 413",
      "400, 1000, 413",
      "990, 1000, 413"
    })
    void chunkedInSeveralPacketsAreAnswered(int packetBytes, int chunkBytes, int status)
        throws Exception {
      String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n";
      String body = chunk + "1\r\nx\r\n0\r\n\r\n";
      try (Socket socket =
          connect("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        for (int i = 0; i < body.length(); i += packetBytes) {
          String packet = body.substring(i, Math.min(body.length(), i + packetBytes));
          socket.getOutputStream().write(packet.getBytes(StandardCharsets.US_ASCII));
          Thread.sleep(1);
        }
        byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
        assertEquals("HTTP/1.1 " + status, new String(start, StandardCharsets.US_ASCII));
      }
    }

    /**
     * Guards against a POST that stays unanswered because the client offers to switch to HTTP/2, as
     * the JDK's client does by default.
     */
    @Test
    void thatOfferAnUpgradeWithALongBodyAreAnswered() throws Exception {
      HttpClient offering = HttpClient.newHttpClient();
      for (int i = 0; i < 3; i++) {
        HttpRequest request =
            HttpRequest.newBuilder(uri("/"))
                .timeout(Duration.ofSeconds(20))
                .POST(HttpRequest.BodyPublishers.ofString("x".repeat(LIMIT)))
                .build();
        assertEquals(
            200, offering.send(request, HttpResponse.BodyHandlers.ofString()).statusCode());
      }
    }
  }

  /** Guards against connections and threads held by callers that never finish. */
  @Nested
  class SlowCallers {
    @Test
    void areCutOffAlthoughTheySendByteByByte() throws Exception {
      service.close();
      service = service(Duration.ofMillis(200), HttpServiceTest.this::answer);
      try (Socket socket = connect("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n")) {
        assertThrows(
            IOException.class,
            () -> {
              for (int i = 0; i < 900; i++) {
                socket.getOutputStream().write('x');
                Thread.sleep(20);
              }
            });
      }
    }

    @Test
    void doNotOccupyTheOnlyThread() throws Exception {
      List<Socket> open = new ArrayList<>();
      for (int i = 0; i < 50; i++) {
        open.add(connect("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\nx"));
        open.add(connect("GET /held HTTP/1.1\r\nHost: x\r\n\r\n"));
      }
      assertEquals(200, post("/", "x").statusCode());
      for (Socket socket : open) {
        socket.close();
      }
    }

    @Test
    void areNotCutOffWhileTheReplyIsPending() throws Exception {
      service.close();
      service = service(Duration.ofMillis(100), HttpServiceTest.this::answer);
      try (Socket socket = connect("GET /held HTTP/1.1\r\nHost: x\r\n\r\n")) {
        Thread.sleep(500);
        pendingReply.complete(HttpReply.text(200, "late"));
        assertTrue(readToEnd(socket).endsWith("late"));
      }
    }
  }

  /** Guards against replies that are lost while a process drains. */
  @Nested
  class Stopping {
    @Test
    void refusesNewConnectionsAndFinishesOpenOnes() throws Exception {
      try (Socket socket = connect("GET /held HTTP/1.1\r\nHost: x\r\n\r\n")) {
        assertEquals(200, post("/", "x").statusCode());
        service.stopAccepting();
        assertThrows(ConnectException.class, this::connectUntilRefused);
        pendingReply.complete(HttpReply.text(200, "finished"));
        String answer = readToEnd(socket);
        assertTrue(answer.contains("Connection: close") && answer.endsWith("finished"), answer);
        HttpResponse<String> reused = post("/", "x");
        assertEquals("close", reused.headers().firstValue("Connection").orElse(""));
      }
    }

    /** The listening socket is closed only after the selector thread has released it. */
    private void connectUntilRefused() throws Exception {
      for (int i = 0; i < 1000; i++) {
        new Socket(InetAddress.getLoopbackAddress(), service.port()).close();
        Thread.sleep(10);
      }
    }

    @Test
    void anAddressInUseIsReportedAsSuch() {
      InetSocketAddress taken =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), service.port());
      HttpService second =
          new HttpService("second", taken, LIMIT, Duration.ofSeconds(1), 1, call -> pendingReply);
      PollensparException failure = assertThrows(PollensparException.class, second::start);
      assertEquals(ErrorKind.ADDRESS_IN_USE, failure.error().kind());
      second.close();
    }
  }
}
