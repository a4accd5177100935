/** Links between whinwharf's own processes. */
package org.whinwharf.wire.peer;
