/** Measures what the document costs as the number of organisations grows. */
package org.whinwharf.bench.document;
