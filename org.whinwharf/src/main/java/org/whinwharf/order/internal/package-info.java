/** Parts of the steward's decisions. */
package org.whinwharf.order.internal;
