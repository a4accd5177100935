/** Network links between whinwharf processes. */
package org.whinwharf.wire.peer;
