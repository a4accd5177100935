/** Parts of the entry daemon: the duty of the home, callers' HTTP interface, targets and relays. */
package org.whinwharf.entry.internal;
