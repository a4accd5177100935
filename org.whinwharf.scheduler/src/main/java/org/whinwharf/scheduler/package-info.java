/** Scheduler daemon, which owns slices of targets and votes on the owners of slices. */
package org.whinwharf.scheduler;
