/** Asks the hosts of the published list how they stand, and sums up what they say. */
package org.whinwharf.pgm.internal.fleet;
