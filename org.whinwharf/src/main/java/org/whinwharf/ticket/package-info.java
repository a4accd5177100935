/** Sealed tickets and receipts, request identifiers and the request numbers seen under a ticket. */
package org.whinwharf.ticket;
