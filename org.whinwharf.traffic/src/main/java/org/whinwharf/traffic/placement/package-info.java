/** Which target a request goes to. */
package org.whinwharf.traffic.placement;
