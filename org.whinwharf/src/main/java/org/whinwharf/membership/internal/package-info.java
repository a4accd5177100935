/** Ordering of candidates and cutting of slices. */
package org.whinwharf.membership.internal;
