package org.pollenspar.cli;

import org.pollenspar.core.process.PollensparError;

/** Result of a command, with the exit code of the program. */
public enum ExitCode {
  OK(0, "done"),
  FAILED(1, "the platform or a process did not answer, or an invariant was violated"),
  BAD_INPUT(2, "an option or a file has an error; nothing was changed"),
  CONFLICT(3, "another version was applied first; nothing was changed"),
  INCOMPLETE(4, "accepted, but some live proxies do not report the version yet"),
  UNKNOWN(5, "it is unknown whether the change or the request took effect");

  private final int number;
  private final String meaning;

  ExitCode(int number, String meaning) {
    this.number = number;
    this.meaning = meaning;
  }

  public int number() {
    return number;
  }

  static ExitCode of(PollensparError error) {
    return switch (error.kind()) {
      case VERSION_CONFLICT -> CONFLICT;
      case APPLY_INCOMPLETE -> INCOMPLETE;
      case APPLY_UNCONFIRMED -> UNKNOWN;
      case PLATFORM_UNAVAILABLE, PLATFORM_REFUSED, PEER_UNAVAILABLE -> FAILED;
      default -> BAD_INPUT;
    };
  }

  /** Returns all codes with their meaning, for the help text. */
  static String help() {
    StringBuilder text = new StringBuilder("Exit codes:\n");
    for (ExitCode code : values()) {
      text.append("  %d  %s%n".formatted(code.number, code.meaning));
    }
    return text.toString();
  }
}
