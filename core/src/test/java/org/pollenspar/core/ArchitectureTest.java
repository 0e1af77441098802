package org.pollenspar.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against core classes that read a clock, start threads, open sockets or use global
 * randomness: simulations on fake time could not run them.
 */
class ArchitectureTest {
  private static final JavaClasses CORE =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.pollenspar.core");

  @Nested
  class DecisionLogic {

    @Test
    void readsNoClock() {
      noClasses()
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .dependOnClassesThat()
          .belongToAnyOf(java.time.Clock.class)
          .check(CORE);
    }

    @Test
    void startsNoThreadAndOpensNoSocket() {
      noClasses()
          .should()
          .dependOnClassesThat()
          .belongToAnyOf(Thread.class, java.util.concurrent.ExecutorService.class)
          .orShould()
          .dependOnClassesThat()
          .resideInAnyPackage("java.net..", "java.nio.channels..", "java.sql..")
          .check(CORE);
    }

    @Test
    void usesNoGlobalRandomness() {
      noClasses()
          .should()
          .dependOnClassesThat()
          .belongToAnyOf(Random.class, ThreadLocalRandom.class)
          .orShould()
          .callMethod(Math.class, "random")
          .check(CORE);
    }
  }

  @Nested
  class Layers {

    @Test
    void processDoesNotDependOnShorterLifetimes() {
      noClasses()
          .that()
          .resideInAPackage("..core.process..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("..core.request..")
          .check(CORE);
    }
  }
}
