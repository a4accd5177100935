/** Rates of requests that targets state, kept as one bound over all processes. */
package org.whinwharf.traffic.rate;
