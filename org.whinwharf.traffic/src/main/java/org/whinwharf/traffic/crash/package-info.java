/** Requests under which targets have crashed. */
package org.whinwharf.traffic.crash;
