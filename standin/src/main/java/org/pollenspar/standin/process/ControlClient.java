package org.pollenspar.standin.process;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Client of the control API of a database; each call fails if the status is not 200. */
final class ControlClient {
  private final ObjectMapper json = new ObjectMapper();
  private final HttpClient http;
  private final Duration timeout;

  ControlClient(Duration timeout) {
    this.timeout = timeout;
    this.http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(timeout)
            .build();
  }

  <T> T post(String address, int port, String path, Object body, Class<T> type)
      throws IOException, InterruptedException {
    HttpRequest request =
        request(address, port, path)
            .POST(HttpRequest.BodyPublishers.ofString(json.writeValueAsString(body)))
            .build();
    return json.readValue(send(request), type);
  }

  JsonNode read(String address, int port, String path) throws IOException, InterruptedException {
    return json.readValue(
        send(request(address, port, path).GET().build()), new TypeReference<JsonNode>() {});
  }

  private HttpRequest.Builder request(String address, int port, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + ":" + port + path))
        .timeout(timeout);
  }

  private String send(HttpRequest request) throws IOException, InterruptedException {
    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    if (response.statusCode() != 200) {
      throw new IOException("status " + response.statusCode() + ": " + response.body());
    }
    return response.body();
  }
}
