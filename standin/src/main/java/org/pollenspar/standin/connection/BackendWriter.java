package org.pollenspar.standin.connection;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.pollenspar.standin.request.Column;
import org.pollenspar.standin.request.QueryResult;

/** Encodes the server's messages of the PostgreSQL protocol, version 3, into a buffer. */
final class BackendWriter {
  /** Transaction status, as the message ReadyForQuery reports it. */
  enum Status {
    IDLE('I'),
    IN_TRANSACTION('T'),
    FAILED('E');

    private final char code;

    Status(char code) {
      this.code = code;
    }
  }

  private final ByteBuf out;

  BackendWriter(ByteBuf out) {
    this.out = out;
  }

  ByteBuf buffer() {
    return out;
  }

  void authenticationOk(int processId, int secret) {
    int start = open('R');
    out.writeInt(0);
    close(start);
    parameter("server_version", "15.0");
    parameter("server_encoding", "UTF8");
    parameter("client_encoding", "UTF8");
    parameter("DateStyle", "ISO, MDY");
    parameter("TimeZone", "UTC");
    parameter("integer_datetimes", "on");
    parameter("standard_conforming_strings", "on");
    int key = open('K');
    out.writeInt(processId).writeInt(secret);
    close(key);
  }

  void readyForQuery(Status status) {
    int start = open('Z');
    out.writeByte(status.code);
    close(start);
  }

  void emptyQuery() {
    close(open('I'));
  }

  void result(QueryResult result) {
    if (!result.columns().isEmpty()) {
      rowDescription(result.columns());
      for (List<@Nullable String> row : result.rows()) {
        dataRow(row);
      }
    }
    int start = open('C');
    string(result.tag());
    close(start);
  }

  void error(String severity, String sqlState, String message) {
    int start = open('E');
    field('S', severity);
    field('V', severity);
    field('C', sqlState);
    field('M', message);
    out.writeByte(0);
    close(start);
  }

  private void rowDescription(List<Column> columns) {
    int start = open('T');
    out.writeShort(columns.size());
    for (Column column : columns) {
      string(column.name());
      out.writeInt(0).writeShort(0);
      out.writeInt(column.type().oid()).writeShort(column.type().size());
      out.writeInt(-1).writeShort(0);
    }
    close(start);
  }

  private void dataRow(List<@Nullable String> row) {
    int start = open('D');
    out.writeShort(row.size());
    for (String cell : row) {
      if (cell == null) {
        out.writeInt(-1);
      } else {
        byte[] bytes = cell.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length).writeBytes(bytes);
      }
    }
    close(start);
  }

  private void parameter(String name, String value) {
    int start = open('S');
    string(name);
    string(value);
    close(start);
  }

  private void field(char code, String value) {
    out.writeByte(code);
    string(value);
  }

  private void string(String text) {
    out.writeCharSequence(text, StandardCharsets.UTF_8);
    out.writeByte(0);
  }

  /** Starts a message and leaves room for its length, which {@link #close} fills in. */
  private int open(char type) {
    out.writeByte(type);
    int start = out.writerIndex();
    out.writeInt(0);
    return start;
  }

  private void close(int start) {
    out.setInt(start, out.writerIndex() - start);
  }
}
