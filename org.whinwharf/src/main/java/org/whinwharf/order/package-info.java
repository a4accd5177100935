/**
 * Decides which orders engines receive: the desired state by the document, the steward that may send orders, and the
 * rate of loads from the weight store.
 *
 * <p>The published host list alone determines the one steward of each target. Orders carry the revision of the list as
 * their fencing number.
 */
package org.whinwharf.order;
