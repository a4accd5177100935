/** Sends the steward's orders and reads engines. */
package org.whinwharf.steward.internal;
