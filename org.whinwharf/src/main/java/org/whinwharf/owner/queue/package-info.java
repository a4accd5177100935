/** Queue of the requests that wait in one slice, and the order in which they are served. */
package org.whinwharf.owner.queue;
