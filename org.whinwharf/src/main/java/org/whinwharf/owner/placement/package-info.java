/** Choice of a target inside a slice. */
package org.whinwharf.owner.placement;
