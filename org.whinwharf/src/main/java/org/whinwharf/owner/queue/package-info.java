/** Order of the requests that wait in one slice. */
package org.whinwharf.owner.queue;
