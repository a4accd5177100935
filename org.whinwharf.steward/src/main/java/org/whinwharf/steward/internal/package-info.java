/** HTTP client, metrics and execution of the steward's orders and reads. */
package org.whinwharf.steward.internal;
