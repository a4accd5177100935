/** Ownership of slices by pledges that run out. */
package org.whinwharf.owner.pledge;
