package org.whinwharf.traffic.target;

/**
 * One part of a prompt; requests share parts, and a target keeps those it has read.
 *
 * @param id identity of the part's text
 * @param tokens length in tokens
 */
public record PromptPart(String id, long tokens) {}
