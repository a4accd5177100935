/**
 * The process that callers connect to: it reads their requests, sends them to targets and returns the answers, and it
 * speaks with its peers. One thread carries all of it, so the state needs no locks; a second one writes the log.
 */
package org.whinwharf.front;
