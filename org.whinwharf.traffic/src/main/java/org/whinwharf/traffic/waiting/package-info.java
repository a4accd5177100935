/** Queues of requests that wait for a target: order, queue timeouts and rejection. */
package org.whinwharf.traffic.waiting;
