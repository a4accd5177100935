/** Netty configuration common to all processes. */
package org.whinwharf.wire.netty;
