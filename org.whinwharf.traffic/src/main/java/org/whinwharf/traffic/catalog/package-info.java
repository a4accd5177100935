/** The published configuration: routes, services, organisations and limits, as immutable values. */
package org.whinwharf.traffic.catalog;
