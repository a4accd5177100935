/** HTTP server for operators: health, readiness, metrics and status. */
package org.whinwharf.runtime.admin;
