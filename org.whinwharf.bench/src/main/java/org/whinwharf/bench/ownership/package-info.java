/** Compares ways to share a target's limit between owners, on pledges that are driven by a clock of the benchmark. */
package org.whinwharf.bench.ownership;
