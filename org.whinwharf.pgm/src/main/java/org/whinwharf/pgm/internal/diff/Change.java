package org.whinwharf.pgm.internal.diff;

/**
 * One difference between two documents.
 *
 * @param area part of the document, such as {@code dataCentres}
 * @param text what changes for whom
 * @param risky true when operators should look twice
 */
public record Change(String area, String text, boolean risky) {}
