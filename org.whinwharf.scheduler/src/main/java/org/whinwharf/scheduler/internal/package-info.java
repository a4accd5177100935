/** Threads, links and HTTP around the scheduler's decisions. */
package org.whinwharf.scheduler.internal;
