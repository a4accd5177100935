/** Reads the published document and the host list from the platform. */
package org.whinwharf.runtime.platform;
