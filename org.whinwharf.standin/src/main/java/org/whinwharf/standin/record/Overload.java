package org.whinwharf.standin.record;

/**
 * Admission to a cold engine beyond what it bears.
 *
 * @param atMillis when, in Unix milliseconds
 * @param sinceColdMillis how long the engine had been cold
 * @param atStart whether it was cold because it had started, not because it turned cold without warning
 * @param inFlight streams in flight, the admitted one included
 * @param bears streams that the engine bore at that time
 */
public record Overload(long atMillis, long sinceColdMillis, boolean atStart, int inFlight, int bears) {}
