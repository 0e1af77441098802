package org.pollenspar.core.version;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;

/**
 * Suggests the known name that is closest to a misspelt one by Levenshtein distance. A name is only
 * suggested if it differs by at most a third of the length of the misspelt name, or by 2 edits if
 * that is more.
 */
public final class NearestName {
  private NearestName() {}

  /** Returns {@code , did you mean "x"?}, or an empty string if no known name is similar. */
  public static String suggestion(String name, Collection<String> known) {
    String lower = name.toLowerCase(Locale.ROOT);
    int limit = Math.max(2, name.length() / 3);
    return known.stream()
        .min(Comparator.<String>comparingInt(k -> distance(lower, k)).thenComparing(k -> k))
        .filter(nearest -> distance(lower, nearest) <= limit)
        .map(nearest -> ", did you mean \"" + nearest + "\"?")
        .orElse("");
  }

  private static int distance(String a, String b) {
    int[] previous = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int[] current = new int[b.length() + 1];
      current[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int substitution = previous[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
        current[j] = Math.min(substitution, Math.min(previous[j], current[j - 1]) + 1);
      }
      previous = current;
    }
    return previous[b.length()];
  }
}
