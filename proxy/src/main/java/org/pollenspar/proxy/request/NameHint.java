package org.pollenspar.proxy.request;

import java.util.Collection;
import java.util.Comparator;

/** Suggests the declared name that is most like a misspelt one, by Levenshtein distance. */
final class NameHint {
  private static final int MAX_DISTANCE = 3;

  private NameHint() {}

  /** Returns {@code "; the nearest name is "x""}, or nothing if no name is similar. */
  static String of(String name, Collection<String> declared) {
    return declared.stream()
        .min(Comparator.<String>comparingInt(d -> distance(name, d)).thenComparing(d -> d))
        .filter(nearest -> distance(name, nearest) <= MAX_DISTANCE)
        .map(nearest -> "; the nearest name is \"" + nearest + "\"")
        .orElse("");
  }

  private static int distance(String a, String b) {
    int[] row = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int substitution = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
        diagonal = row[j];
        row[j] = Math.min(substitution, Math.min(row[j], row[j - 1]) + 1);
      }
    }
    return row[b.length()];
  }
}
