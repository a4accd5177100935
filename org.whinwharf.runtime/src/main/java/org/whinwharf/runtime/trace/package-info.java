/** Spans of the hops of a request, joined across processes. */
package org.whinwharf.runtime.trace;
