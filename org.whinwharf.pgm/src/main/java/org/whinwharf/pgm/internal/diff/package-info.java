/** Tells in words what differs between two documents, and what of it is risky. */
package org.whinwharf.pgm.internal.diff;
