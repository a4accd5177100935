/** Decisions of the request scheduler, free of clocks, sockets and threads. */
package org.whinwharf;
