/** Reads of the platform: the published document and the host list. */
package org.whinwharf.runtime.platform;
