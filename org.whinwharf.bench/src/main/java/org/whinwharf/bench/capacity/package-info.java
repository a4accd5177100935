/** Measures how state, messages and processor time of each role grow with the fleet. */
package org.whinwharf.bench.capacity;
