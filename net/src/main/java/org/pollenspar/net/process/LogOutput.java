package org.pollenspar.net.process;

import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;

/** Sends the log of {@link System.Logger} to standard error, as text or one JSON object a line. */
public final class LogOutput {
  private static final String APPENDER = "stderr";
  private static final String TEXT_PATTERN =
      "%d{ISO8601_OFFSET_DATE_TIME_HHMM} %-5p %c{1} %m%n%xEx";

  // Root of java.util.logging, which libraries use. The strong reference keeps the logger from
  // being garbage-collected, which would lose its level.
  private static final Logger JDK_ROOT = Logger.getLogger("");

  private LogOutput() {}

  /**
   * Sets the format for the rest of the process.
   *
   * @param format {@code text} or {@code json}
   * @param process id that each JSON line carries
   */
  public static void configure(String format, String process) {
    JDK_ROOT.setLevel(Level.WARNING);
    ConfigurationBuilder<BuiltConfiguration> builder =
        ConfigurationBuilderFactory.newConfigurationBuilder();
    builder.add(
        builder
            .newAppender(APPENDER, "Console")
            .addAttribute("target", ConsoleAppender.Target.SYSTEM_ERR)
            .add(format.equals("json") ? json(builder, process) : text(builder)));
    builder.add(
        builder
            .newRootLogger(org.apache.logging.log4j.Level.INFO)
            .add(builder.newAppenderRef(APPENDER)));
    Configurator.reconfigure(builder.build());
  }

  private static LayoutComponentBuilder text(ConfigurationBuilder<?> builder) {
    return builder.newLayout("PatternLayout").addAttribute("pattern", TEXT_PATTERN);
  }

  private static LayoutComponentBuilder json(ConfigurationBuilder<?> builder, String process) {
    String template =
        "{\"time\": {\"$resolver\": \"timestamp\"},"
            + " \"level\": {\"$resolver\": \"level\", \"field\": \"name\"},"
            + " \"process\": \"%s\","
            + " \"logger\": {\"$resolver\": \"logger\", \"field\": \"name\"},"
            + " \"message\": {\"$resolver\": \"message\", \"stringified\": true},"
            + " \"exception\": {\"$resolver\": \"exception\", \"field\": \"stackTrace\","
            + " \"stackTrace\": {\"stringified\": true}}}";
    return builder
        .newLayout("JsonTemplateLayout")
        .addAttribute("eventTemplate", template.formatted(process));
  }
}
