/** Which requests wait, in which order, for how long, and which are refused. */
package org.whinwharf.traffic.waiting;
