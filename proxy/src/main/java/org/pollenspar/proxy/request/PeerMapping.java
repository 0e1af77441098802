package org.pollenspar.proxy.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.DatabaseRole;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.request.Outcome;
import org.pollenspar.core.request.ResultTable;
import org.pollenspar.core.request.Statement;
import org.pollenspar.core.request.WorkKind;
import org.pollenspar.core.request.WorkRequest;
import org.pollenspar.wire.OutcomeCode;
import org.pollenspar.wire.PositionMessage;
import org.pollenspar.wire.ResultMessage;
import org.pollenspar.wire.RowMessage;
import org.pollenspar.wire.StatementMessage;
import org.pollenspar.wire.ValueCell;
import org.pollenspar.wire.WorkRequestMessage;
import org.pollenspar.wire.WorkResponseMessage;

/**
 * Converts requests and outcomes to peer messages and back. Messages contain durations instead of
 * points in time, because the monotonic clocks of two processes cannot be compared.
 */
public final class PeerMapping {
  private static final long MAX_WIRE_MILLIS = Integer.MAX_VALUE;

  private PeerMapping() {}

  /** Returns the message for a home; its age and remaining time are those at {@code nowNanos}. */
  public static WorkRequestMessage request(
      WorkRequest request, boolean retry, long configVersion, long nowNanos) {
    WorkRequestMessage.Builder message =
        WorkRequestMessage.newBuilder()
            .setGroup(request.group())
            .setKind(request.kind().name())
            .setKey(request.key().orElse(""))
            .setRemainingMillis(wireMillis(request.remainingNanos(nowNanos)))
            .setAgeMillis(wireMillis(nowNanos - request.arrivalNanos()))
            .setSessionId(request.sessionId())
            .setSessionPosition(position(request.sessionPosition()))
            .setConfigVersion(configVersion)
            .setRetry(retry);
    for (Statement statement : request.statements()) {
      message.addStatements(
          StatementMessage.newBuilder()
              .setSql(statement.sql())
              .setExpectedRows(statement.expectedRows()));
    }
    return message.build();
  }

  /** Returns the request in a message, with times on this process's monotonic clock. */
  public static WorkRequest request(
      WorkRequestMessage message, WorkKind kind, long requestId, long nowNanos) {
    List<Statement> statements = new ArrayList<>();
    for (StatementMessage statement : message.getStatementsList()) {
      statements.add(new Statement(statement.getSql(), statement.getExpectedRows()));
    }
    return new WorkRequest(
        requestId,
        message.getGroup(),
        kind,
        message.getKey().isEmpty() ? Optional.empty() : Optional.of(message.getKey()),
        message.getRetry(),
        nowNanos - TimeUnit.MILLISECONDS.toNanos(message.getAgeMillis()),
        nowNanos + TimeUnit.MILLISECONDS.toNanos(message.getRemainingMillis()),
        message.getSessionId(),
        position(message.getSessionPosition()),
        statements);
  }

  public static WorkResponseMessage response(Outcome outcome) {
    WorkResponseMessage.Builder message = WorkResponseMessage.newBuilder();
    if (outcome instanceof Outcome.Done done) {
      message
          .setOutcome(OutcomeCode.DONE)
          .setServedBy(done.servedBy())
          .setRole(done.role().wireName());
      done.position().ifPresent(p -> message.setPosition(position(p)));
      done.results().forEach(table -> message.addResults(result(table)));
    } else if (outcome instanceof Outcome.NotRun notRun) {
      error(message.setOutcome(OutcomeCode.NOT_RUN), notRun.error())
          .setRetryAfterMillis((int) Math.min(notRun.retryAfterMillis(), MAX_WIRE_MILLIS));
    } else if (outcome instanceof Outcome.Unknown unknown) {
      error(message.setOutcome(OutcomeCode.UNKNOWN), unknown.error());
    }
    return message.build();
  }

  /**
   * Returns the outcome in a response; empty for {@code NOT_HOME} and for a response that breaks
   * the protocol.
   */
  public static Optional<Outcome> outcome(WorkResponseMessage message) {
    return switch (message.getOutcome()) {
      case DONE -> role(message.getRole()).map(role -> done(message, role));
      case NOT_RUN ->
          error(message).map(error -> new Outcome.NotRun(error, message.getRetryAfterMillis()));
      case UNKNOWN -> error(message).map(Outcome.Unknown::new);
      default -> Optional.empty();
    };
  }

  private static Outcome done(WorkResponseMessage message, DatabaseRole role) {
    List<ResultTable> tables = new ArrayList<>();
    message.getResultsList().forEach(result -> tables.add(result(result)));
    Optional<Position> position =
        message.hasPosition() ? Optional.of(position(message.getPosition())) : Optional.empty();
    return new Outcome.Done(tables, position, message.getServedBy(), role);
  }

  private static Optional<DatabaseRole> role(String name) {
    for (DatabaseRole role : DatabaseRole.values()) {
      if (role.wireName().equals(name)) {
        return Optional.of(role);
      }
    }
    return Optional.empty();
  }

  private static WorkResponseMessage.Builder error(
      WorkResponseMessage.Builder message, PollensparError error) {
    return message.setErrorNumber(error.kind().number()).setErrorMessage(error.message());
  }

  private static Optional<PollensparError> error(WorkResponseMessage message) {
    return ErrorKind.ofNumber(message.getErrorNumber())
        .map(kind -> new PollensparError(kind, message.getErrorMessage()));
  }

  private static PositionMessage position(Position position) {
    return PositionMessage.newBuilder()
        .setTerm(position.term())
        .setOffset(position.offset())
        .build();
  }

  private static Position position(PositionMessage message) {
    return new Position(message.getTerm(), message.getOffset());
  }

  private static ResultMessage result(ResultTable table) {
    ResultMessage.Builder message =
        ResultMessage.newBuilder().addAllColumns(table.columns()).setUpdated(table.updated());
    for (List<@Nullable String> row : table.rows()) {
      RowMessage.Builder cells = RowMessage.newBuilder();
      for (String cell : row) {
        cells.addCells(
            cell == null
                ? ValueCell.newBuilder().setIsNull(true)
                : ValueCell.newBuilder().setText(cell));
      }
      message.addRows(cells);
    }
    return message.build();
  }

  private static ResultTable result(ResultMessage message) {
    List<List<@Nullable String>> rows = new ArrayList<>();
    for (RowMessage row : message.getRowsList()) {
      List<@Nullable String> cells = new ArrayList<>();
      row.getCellsList().forEach(cell -> cells.add(cell.getIsNull() ? null : cell.getText()));
      rows.add(Collections.unmodifiableList(cells));
    }
    return new ResultTable(message.getColumnsList(), rows, message.getUpdated());
  }

  private static int wireMillis(long nanos) {
    return (int) Math.min(Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos)), MAX_WIRE_MILLIS);
  }
}
