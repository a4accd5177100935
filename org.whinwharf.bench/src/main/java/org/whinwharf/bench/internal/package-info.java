/** Parts of the load tool. */
package org.whinwharf.bench.internal;
