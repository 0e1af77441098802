package org.pollenspar.net.process;

import io.netty.util.NetUtil;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.Arrays;
import java.util.List;

/** The type of a setting; checks the text of a value beyond its TOML type. */
enum SettingType {
  NAME("a name of letters, digits, \".\", \"_\" and \"-\"") {
    @Override
    boolean accepts(String text) {
      return text.matches("[A-Za-z0-9._-]+");
    }
  },
  TEXT("a string") {
    @Override
    boolean accepts(String text) {
      return true;
    }
  },
  ADDRESS("an IP number") {
    @Override
    boolean accepts(String text) {
      return NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text);
    }
  },
  URL("a URL such as http://10.0.0.1:8080") {
    @Override
    boolean accepts(String text) {
      try {
        URI uri = new URI(text);
        return "http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0;
      } catch (URISyntaxException e) {
        return false;
      }
    }
  },
  LOG_FORMAT("\"text\" or \"json\"") {
    @Override
    boolean accepts(String text) {
      return List.of("text", "json").contains(text);
    }
  },
  POLICY("\"standard\" or \"baseline\"") {
    @Override
    boolean accepts(String text) {
      return List.of("standard", "baseline").contains(text);
    }
  },
  INTEGER("an integer") {
    @Override
    boolean accepts(String text) {
      return Arrays.stream(text.split("")).allMatch(digit -> digit.matches("[-0-9]"));
    }
  };

  private final String description;

  SettingType(String description) {
    this.description = description;
  }

  abstract boolean accepts(String text);

  String description() {
    return description;
  }
}
