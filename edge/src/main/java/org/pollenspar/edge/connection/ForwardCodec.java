package org.pollenspar.edge.connection;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.ForwardOutcome;
import org.pollenspar.core.connection.ForwardedRequest;
import org.pollenspar.core.connection.Position;
import org.pollenspar.core.request.Answer;
import org.pollenspar.core.request.AnswerCode;
import org.pollenspar.core.request.PreparedShape;
import org.pollenspar.core.request.SessionStatement;
import org.pollenspar.core.request.TransactionState;
import org.pollenspar.core.version.Route;
import org.pollenspar.core.version.RouteKind;
import org.pollenspar.wire.fleet.ForwardAnswer;
import org.pollenspar.wire.fleet.ForwardRequest;
import org.pollenspar.wire.fleet.ForwardState;
import org.pollenspar.wire.fleet.ForwardedRoute;
import org.pollenspar.wire.fleet.LogPosition;
import org.pollenspar.wire.fleet.StatementKind;

/**
 * Translates between forwarded statements and their messages.
 *
 * <p>Enum constants of the core travel by name, so that hosts whose versions number them
 * differently understand each other.
 */
final class ForwardCodec {
  private ForwardCodec() {}

  static ForwardRequest encode(ForwardedRequest request) {
    ForwardRequest.Builder message =
        ForwardRequest.newBuilder()
            .setRoute(encode(request.route()))
            .setStatementId(request.id())
            .setOrganisation(request.organisation())
            .putAllSessionValues(request.values())
            .setElapsedMs((int) Math.min(Integer.MAX_VALUE, request.elapsedMillis()));
    encodeStatement(request.statement(), message);
    @Nullable PreparedShape shape = request.shape();
    if (shape != null) {
      message.setShape(shape.shape()).setShapeWrites(shape.writes());
    }
    @Nullable Position lastCommit = request.lastCommit();
    if (lastCommit != null) {
      message.setLastCommit(encode(lastCommit));
    }
    ForwardedRequest.@Nullable Transaction transaction = request.transaction();
    if (transaction != null) {
      message
          .setTransaction(transaction.id())
          .setOpensTransaction(transaction.opens())
          .setReadOnly(transaction.readOnly());
    }
    return message.build();
  }

  private static void encodeStatement(SessionStatement statement, ForwardRequest.Builder message) {
    if (statement instanceof SessionStatement.Read read) {
      message.setKind(StatementKind.READ).setText(read.text());
    } else if (statement instanceof SessionStatement.Write write) {
      message.setKind(StatementKind.WRITE).setText(write.text());
    } else if (statement instanceof SessionStatement.Execute execute) {
      message
          .setKind(StatementKind.EXECUTE)
          .setText(execute.name())
          .setArguments(execute.arguments());
    } else if (statement instanceof SessionStatement.Commit) {
      message.setKind(StatementKind.COMMIT);
    } else {
      throw new IllegalArgumentException("statement can't be forwarded: " + statement);
    }
  }

  /** Decodes a request; null if this version can't run it. */
  static @Nullable ForwardedRequest decode(ForwardRequest message) {
    @Nullable SessionStatement statement =
        switch (message.getKind()) {
          case READ -> new SessionStatement.Read(message.getText());
          case WRITE -> new SessionStatement.Write(message.getText());
          case EXECUTE -> new SessionStatement.Execute(message.getText(), message.getArguments());
          case COMMIT -> new SessionStatement.Commit();
          default -> null;
        };
    @Nullable RouteKind kind = constant(RouteKind.values(), message.getRoute().getKind());
    if (statement == null || kind == null) {
      return null;
    }
    return new ForwardedRequest(
        decode(message.getRoute(), kind),
        message.getStatementId(),
        statement,
        message.getShape().isEmpty()
            ? null
            : new PreparedShape(message.getShapeWrites(), message.getShape()),
        message.getOrganisation(),
        message.getSessionValuesMap(),
        message.getElapsedMs(),
        message.hasLastCommit() ? decode(message.getLastCommit()) : null,
        message.getTransaction() == 0
            ? null
            : new ForwardedRequest.Transaction(
                message.getTransaction(), message.getOpensTransaction(), message.getReadOnly()));
  }

  static ForwardAnswer encode(ForwardOutcome outcome) {
    Answer answer = outcome.answer();
    ForwardAnswer.Builder message =
        ForwardAnswer.newBuilder()
            .setState(
                switch (outcome.kind()) {
                  case ANSWERED -> ForwardState.ANSWERED;
                  case DECLINED -> ForwardState.DECLINED;
                  case UNREACHABLE -> ForwardState.UNREACHABLE;
                  default -> throw new IllegalArgumentException("no outcome of a home: " + outcome);
                })
            .setCode(answer.code().name())
            .addAllRows(answer.rows())
            .setDetail(answer.detail())
            .setTransactionState(answer.state().name())
            .setEarlierMayHaveRun(answer.earlierMayHaveRun());
    @Nullable Position position = answer.position();
    if (position != null) {
      message.setPosition(encode(position));
    }
    return message.build();
  }

  /** Decodes an outcome; one that this version doesn't know counts as lost. */
  static ForwardOutcome decode(ForwardAnswer message) {
    @Nullable AnswerCode code = constant(AnswerCode.values(), message.getCode());
    @Nullable TransactionState state =
        constant(TransactionState.values(), message.getTransactionState());
    ForwardOutcome.Kind kind =
        switch (message.getState()) {
          case ANSWERED -> ForwardOutcome.Kind.ANSWERED;
          case DECLINED -> ForwardOutcome.Kind.DECLINED;
          case UNREACHABLE -> ForwardOutcome.Kind.UNREACHABLE;
          default -> ForwardOutcome.Kind.LOST;
        };
    if (code == null || state == null || kind == ForwardOutcome.Kind.LOST) {
      return ForwardOutcome.unanswered(
          ForwardOutcome.Kind.LOST, "the home host sent an answer of an unknown kind");
    }
    return new ForwardOutcome(
        kind,
        new Answer(
            code,
            List.copyOf(message.getRowsList()),
            message.getDetail(),
            state,
            message.hasPosition() ? decode(message.getPosition()) : null,
            message.getEarlierMayHaveRun()));
  }

  private static <E extends Enum<E>> @Nullable E constant(E[] values, String name) {
    for (E value : values) {
      if (value.name().equals(name)) {
        return value;
      }
    }
    return null;
  }

  private static ForwardedRoute encode(Route route) {
    return ForwardedRoute.newBuilder()
        .setName(route.name())
        .setDatabase(route.database())
        .setGroup(route.group())
        .setKind(route.kind().name())
        .setMaxStalenessMs(route.maxStalenessMillis())
        .setStatementTimeoutMs(route.statementTimeoutMillis())
        .setTargetLatencyMs(route.targetLatencyMillis())
        .setPriority(route.priority())
        .build();
  }

  private static Route decode(ForwardedRoute route, RouteKind kind) {
    return new Route(
        route.getName(),
        route.getDatabase(),
        route.getGroup(),
        kind,
        route.getMaxStalenessMs(),
        route.getStatementTimeoutMs(),
        route.getTargetLatencyMs(),
        route.getPriority());
  }

  private static LogPosition encode(Position position) {
    return LogPosition.newBuilder().setTerm(position.term()).setOffset(position.offset()).build();
  }

  private static Position decode(LogPosition position) {
    return new Position(position.getTerm(), position.getOffset());
  }
}
