package org.pollenspar.cli;

import java.util.ArrayList;
import java.util.List;

/** Formats rows of text in aligned columns. */
final class TextTable {
  private final List<String[]> rows = new ArrayList<>();

  TextTable(String... header) {
    rows.add(header);
  }

  void row(String... cells) {
    rows.add(cells);
  }

  String text() {
    StringBuilder text = new StringBuilder();
    for (String[] row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < row.length; i++) {
        line.append(row[i]).append(" ".repeat(width(i) - row[i].length() + 2));
      }
      text.append(line.toString().stripTrailing()).append('\n');
    }
    return text.toString();
  }

  private int width(int column) {
    return rows.stream().mapToInt(row -> row[column].length()).max().orElse(0);
  }
}
