/** Placement of the requests of a service by one coordinator, so that each decision is based on the whole load. */
package org.whinwharf.traffic.coordination;
