/** Closed list of error kinds with the answer of each, and the result types that carry them. */
package org.whinwharf.errors;
