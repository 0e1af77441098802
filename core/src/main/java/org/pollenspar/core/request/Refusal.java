package org.pollenspar.core.request;

/** An answer that a caller gets instead of a database's, since nothing is sent. */
public record Refusal(AnswerCode code, String text) {}
