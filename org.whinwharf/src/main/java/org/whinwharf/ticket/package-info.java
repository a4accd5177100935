/** Sealed tickets and receipts, request identifiers and the window of request numbers seen under a ticket. */
package org.whinwharf.ticket;
