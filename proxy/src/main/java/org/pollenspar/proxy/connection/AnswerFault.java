package org.pollenspar.proxy.connection;

import java.sql.SQLException;

/** An answer that does not belong to its request or is incomplete; its connection is not reused. */
final class AnswerFault extends SQLException {
  private static final long serialVersionUID = 1L;

  /** SQLSTATE of a protocol violation (class 08, connection exception). */
  private static final String PROTOCOL_VIOLATION = "08P01";

  AnswerFault(String message) {
    super(message, PROTOCOL_VIOLATION);
  }
}
