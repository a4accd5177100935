/** Shares of organisations in the slots of a service under shortage. */
package org.whinwharf.traffic.share;
