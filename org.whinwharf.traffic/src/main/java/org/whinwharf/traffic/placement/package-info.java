/** Selection of the target for a request. */
package org.whinwharf.traffic.placement;
