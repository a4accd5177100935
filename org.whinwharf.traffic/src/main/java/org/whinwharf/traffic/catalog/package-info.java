/** What operators publish: routes, services, organisations and limits, as immutable values. */
package org.whinwharf.traffic.catalog;
