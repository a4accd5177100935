/** Learned concurrency limits of the targets and accounting of the requests in flight. */
package org.whinwharf.owner.limit;
