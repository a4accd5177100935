/** What one process knows of each target: load, speed, health, cold start. */
package org.whinwharf.traffic.target;
