/** Which targets a process reaches over connections of its own, and which peers can relay for it. */
package org.whinwharf.traffic.path;
