package org.pollenspar.net.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenspar.core.process.DatabaseEndpoint;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.Host;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.HostRole;
import org.pollenspar.core.process.HostState;

/** Guards against a host list that is altered by writing and reading it as JSON. */
class HostListJsonTest {
  @Test
  void isUnchangedByWritingAndReading() {
    HostList list =
        new HostList(
            5,
            List.of(
                new Host(
                    "p",
                    "127.0.0.1",
                    1,
                    2,
                    3,
                    "d1",
                    "r1",
                    HostRole.PROXY,
                    HostState.LIVE,
                    List.of()),
                new Host(
                    "b",
                    "127.0.0.2",
                    0,
                    0,
                    0,
                    "d2",
                    "r1",
                    HostRole.BACKEND_SERVER,
                    HostState.LEAVING,
                    List.of(new DatabaseEndpoint("db", "g", 5432)))));
    assertEquals(list, HostListJson.read(HostListJson.write(list)).get());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{ | Unexpected end-of-input",
        "{\"hosts\":[]} | revision",
        "{\"revision\":1} | hosts",
        "{\"revision\":1,\"hosts\":[{\"id\":7}]} | \"id\" is not a string",
        "{\"revision\":1,\"hosts\":[{\"id\":\"a\",\"address\":\"x\",\"peer_port\":70000}]}"
            + " | \"peer_port\" is not a port",
      })
  void namesWhatIsWrong(String json, String expected) {
    var error = HostListJson.read(json).getLeft();
    assertEquals(ErrorKind.MALFORMED_JSON, error.kind());
    assertTrue(error.message().contains(expected), error.message());
  }
}
