/** Histories of concurrent runs, and the rules that every one of them must satisfy. */
package org.whinwharf.bench.history;
