/** Start and stop of everything that owns threads, sockets or other resources. */
package org.whinwharf.lifecycle;
