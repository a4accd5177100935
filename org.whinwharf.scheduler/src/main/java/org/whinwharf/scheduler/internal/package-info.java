/** Threads, links and HTTP client around the scheduler's decision logic. */
package org.whinwharf.scheduler.internal;
