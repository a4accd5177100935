/** Time as the decisions see it. */
package org.whinwharf.time;
