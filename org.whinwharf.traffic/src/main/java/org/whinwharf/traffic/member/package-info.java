/** The processes of the fleet, as each hears of the others. */
package org.whinwharf.traffic.member;
