/** Load tool, benchmarks and history checker. */
package org.whinwharf.bench;
