package org.whinwharf.front;

import org.whinwharf.errors.ErrorKind;

/**
 * A failure that a caller is told.
 *
 * @param kind what went wrong; it fixes the status and whether the request may have run
 * @param comeBackMillis when to come back, in milliseconds; 0 for no advice
 */
record Refusal(ErrorKind kind, long comeBackMillis) {}
