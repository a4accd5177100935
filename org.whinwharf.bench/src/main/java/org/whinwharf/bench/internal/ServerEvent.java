package org.whinwharf.bench.internal;

/**
 * One server-sent event.
 *
 * @param name its name; empty when it has none
 * @param data its data
 */
record ServerEvent(String name, String data) {}
