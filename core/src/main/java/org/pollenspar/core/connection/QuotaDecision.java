package org.pollenspar.core.connection;

/**
 * A coordinator's answer to a {@link QuotaRequest}.
 *
 * @param retryAfterMillis time after which a refused operation may be tried again; 0 otherwise
 */
public record QuotaDecision(Kind kind, long retryAfterMillis) {
  /** What was decided. */
  public enum Kind {
    /** The operation may run. */
    GRANTED,
    /** The organisation has used up its limit. */
    REFUSED,
    /** The host doesn't coordinate the organisation now; another one may. */
    DECLINED
  }

  static final QuotaDecision GRANTED = new QuotaDecision(Kind.GRANTED, 0);
  static final QuotaDecision DECLINED = new QuotaDecision(Kind.DECLINED, 0);
}
