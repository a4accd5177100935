/**
 * Decision logic of the scheduler: which waiting request is sent to which target, and when.
 *
 * <p>An owner is a scheduler process that holds pledges for a slice, which is a part of the targets of a service in one
 * data centre. A pledge is a lease that expires. Homes are the entry processes that hold requests; the owner grants the
 * slots of its targets to them. A floor is the lowest tier rank that the owners of a service admit while they are
 * overloaded.
 *
 * <p>The package is free of input and output: {@link org.whinwharf.owner.SchedulerCore} takes events with the time at
 * which they are handled and returns actions; it holds no clock, socket or thread.
 */
package org.whinwharf.owner;
