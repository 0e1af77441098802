package org.pollenspar.net.process;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.pollenspar.core.process.HostList;
import org.pollenspar.core.process.PollensparError;

/** The platform's list of hosts. */
public interface HostDirectory {

  /**
   * Waits up to {@code wait} until the list's revision exceeds {@code afterRevision}.
   *
   * @return the new list; empty if nothing changed
   */
  Either<PollensparError, Optional<HostList>> watch(long afterRevision, Duration wait);
}
