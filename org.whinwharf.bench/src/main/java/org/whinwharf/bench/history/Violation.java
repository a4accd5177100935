package org.whinwharf.bench.history;

/**
 * One breach of a rule.
 *
 * @param rule the rule
 * @param subject request, intent or target that shows it
 * @param detail what was seen
 */
public record Violation(Rule rule, String subject, String detail) {}
