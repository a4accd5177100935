package org.whinwharf.traffic.target;

/**
 * One part of a prompt. Requests share parts, and a target caches the parts it has prefilled.
 *
 * @param id identifier of the part's text
 * @param tokens length in tokens
 */
public record PromptPart(String id, long tokens) {}
