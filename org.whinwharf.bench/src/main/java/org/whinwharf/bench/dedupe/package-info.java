/** Comparison of two ways to remember which requests were seen. */
package org.whinwharf.bench.dedupe;
