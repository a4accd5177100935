/**
 * The front process, to which callers connect. It reads their requests, dispatches them to targets, returns the
 * responses and exchanges state with its peers. A single thread does all of this, so the state needs no locks; a second
 * thread writes the log.
 */
package org.whinwharf.front;
