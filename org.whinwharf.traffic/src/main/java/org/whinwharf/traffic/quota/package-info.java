/** Usage quotas of organisations over all processes. */
package org.whinwharf.traffic.quota;
