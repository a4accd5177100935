/** Steward daemon: brings engines to what the document says. */
package org.whinwharf.steward;
