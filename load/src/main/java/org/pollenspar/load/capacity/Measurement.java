package org.pollenspar.load.capacity;

/**
 * One measured value.
 *
 * @param subject part that was measured, for example {@code fleet_file}
 * @param sizeUnit what the size counts, for example groups
 * @param size size of the subject
 * @param quantity measured quantity with its unit, for example {@code memory_bytes}
 * @param value measured value
 */
public record Measurement(
    String subject, String sizeUnit, long size, String quantity, double value) {

  /** Header of the CSV file. */
  public static final String CSV_HEADER = "subject,size_unit,size,quantity,value";

  /** Returns the line of the CSV file. */
  public String csv() {
    return "%s,%s,%d,%s,%.3f".formatted(subject, sizeUnit, size, quantity, value);
  }

  /** Returns the name of the series that this value belongs to. */
  public String series() {
    return subject + " " + quantity;
  }
}
