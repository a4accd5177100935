/** The local copy of the published items. */
package org.whinwharf.traffic.items;
