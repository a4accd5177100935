/** The state that one process keeps of each target: load, speed, health and cold start. */
package org.whinwharf.traffic.target;
