/** Entry daemon: speaks with callers and is the home of their requests. */
package org.whinwharf.entry;
