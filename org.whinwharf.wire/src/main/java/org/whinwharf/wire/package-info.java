/** Messages between processes, data that the platform publishes, and the schema of settings and documents. */
package org.whinwharf.wire;
