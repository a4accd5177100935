/** Ownership of slices by pledges: leases that the voters of a slice grant and that expire unless renewed. */
package org.whinwharf.owner.pledge;
