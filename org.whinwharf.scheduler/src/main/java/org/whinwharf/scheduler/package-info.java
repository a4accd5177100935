/** Scheduler daemon: owner of slices of targets, voter for others' slices. */
package org.whinwharf.scheduler;
