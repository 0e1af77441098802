package org.pollenspar.cli;

import java.util.Optional;

/** The version of the program, from the manifest of its archive. */
final class Version {
  private Version() {}

  static String text() {
    return Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
        .orElse("development build");
  }
}
