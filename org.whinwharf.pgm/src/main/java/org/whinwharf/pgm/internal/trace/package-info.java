/** Draws the path of one request from the spans in log lines. */
package org.whinwharf.pgm.internal.trace;
