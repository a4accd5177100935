/** What each target bears, as learned, and what is in flight there. */
package org.whinwharf.owner.limit;
