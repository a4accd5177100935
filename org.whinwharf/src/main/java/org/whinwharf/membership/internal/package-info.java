/** Ordering of candidates and assignment of slices to owners. */
package org.whinwharf.membership.internal;
