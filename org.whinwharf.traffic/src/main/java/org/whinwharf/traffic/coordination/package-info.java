/** One process places the requests of a service for all others, so that each decision sees the whole load. */
package org.whinwharf.traffic.coordination;
