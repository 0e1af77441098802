package org.pollenspar.cli;

import java.util.Optional;

/** Version of the program, from the manifest of its JAR file. */
final class Version {
  private Version() {}

  static String text() {
    return Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
        .orElse("development build");
  }
}
