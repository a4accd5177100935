/** State that the steward keeps per engine and per target. */
package org.whinwharf.order.internal;
