/** Selection of a target within a slice. */
package org.whinwharf.owner.placement;
