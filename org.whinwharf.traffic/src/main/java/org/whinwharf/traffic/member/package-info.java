/** Membership of the fleet: reports and heartbeats of its processes. */
package org.whinwharf.traffic.member;
