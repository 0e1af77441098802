package org.pollenspar.net.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenspar.core.process.ErrorKind;
import org.pollenspar.core.process.PollensparError;
import org.pollenspar.core.version.NearestName;

/** Reads and checks a settings file; reports all errors in it together. */
public final class SettingsReader {
  private static final TomlMapper MAPPER = new TomlMapper();
  private static final List<Setting> PORTS =
      List.of(Setting.HTTP_PORT, Setting.PEER_PORT, Setting.ADMIN_PORT);

  private final ProgramName program;
  private final String file;
  private final List<PollensparError> errors = new ArrayList<>();
  private final Map<Setting, String> values = new EnumMap<>(Setting.class);

  private SettingsReader(ProgramName program, String file) {
    this.program = program;
    this.file = file;
  }

  /** Reads the settings of a program from a file. */
  public static Either<List<PollensparError>, ProcessSettings> read(
      ProgramName program, Path file) {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      return Either.left(
          List.of(PollensparError.of(ErrorKind.FILE_UNREADABLE, file, String.valueOf(e))));
    }
    return parse(program, file.toString(), text);
  }

  static Either<List<PollensparError>, ProcessSettings> parse(
      ProgramName program, String file, String text) {
    SettingsReader reader = new SettingsReader(program, file);
    try {
      reader.check(MAPPER.readTree(text));
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      reader.error(ErrorKind.FILE_SYNTAX, file, line, e.getOriginalMessage());
    }
    return reader.errors.isEmpty()
        ? Either.right(new ProcessSettings(reader.values))
        : Either.left(List.copyOf(reader.errors));
  }

  private void check(JsonNode root) {
    List<Setting> declared = Setting.of(program);
    List<String> keys = declared.stream().map(Setting::key).toList();
    root.fieldNames()
        .forEachRemaining(
            name -> {
              if (!keys.contains(name)) {
                error(ErrorKind.UNKNOWN_KEY, file, name, NearestName.suggestion(name, keys));
              }
            });
    declared.forEach(
        setting -> checkSetting(setting, Optional.ofNullable(root.get(setting.key()))));
    checkPorts();
  }

  private void checkSetting(Setting setting, Optional<JsonNode> node) {
    if (node.isEmpty()) {
      setting
          .defaultText()
          .ifPresentOrElse(
              text -> values.put(setting, text),
              () -> error(ErrorKind.MISSING_KEY, file, setting.key()));
      return;
    }
    JsonNode value = node.get();
    String text = value.asText();
    boolean rightType = setting.numeric() ? value.isIntegralNumber() : value.isTextual();
    long size = setting.numeric() ? value.asLong() : text.length();
    if (!rightType) {
      error(ErrorKind.WRONG_TYPE, file, setting.key(), setting.type().description());
    } else if (!setting.inRange(size)) {
      String found = setting.numeric() ? text : size + " characters long";
      error(ErrorKind.OUT_OF_RANGE, file, setting.key(), found, setting.range());
    } else if (!setting.type().accepts(text)) {
      error(ErrorKind.WRONG_TYPE, file, setting.key(), setting.type().description());
    } else {
      values.put(setting, text);
    }
  }

  private void checkPorts() {
    List<String> used = PORTS.stream().filter(values::containsKey).map(values::get).toList();
    if (used.stream().distinct().count() < used.size()) {
      error(ErrorKind.SETTINGS_INVALID, file, "two listeners have the same port");
    }
  }

  private void error(ErrorKind kind, Object... arguments) {
    errors.add(PollensparError.of(kind, arguments));
  }
}
