/** Fleet-wide usage quotas of organisations. */
package org.whinwharf.traffic.quota;
