/** Scheduler daemon: owns slices of targets and grants their slots. */
package org.whinwharf.scheduler;
