package org.pollenspar.standin.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;

/** Reads {@code GET /status} of the control API of a database. */
final class DatabaseStatusClient {
  private DatabaseStatusClient() {}

  static JsonNode read(DatabaseStandin database) throws Exception {
    return new ControlClient(Duration.ofSeconds(5))
        .read("127.0.0.1", database.controlPort(), "/status");
  }
}
