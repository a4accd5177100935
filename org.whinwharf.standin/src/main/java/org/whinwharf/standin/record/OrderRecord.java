package org.whinwharf.standin.record;

/**
 * One order that an engine was given.
 *
 * @param atMillis when, in Unix milliseconds
 * @param fencingNumber fencing number that the order carried
 * @param highestBefore fencing number that was the highest before this order
 * @param accepted whether the engine carried it out
 */
public record OrderRecord(long atMillis, long fencingNumber, long highestBefore, boolean accepted) {}
