package org.whinwharf.home;

import org.whinwharf.ticket.Ticket;

/**
 * Number that a caller assigns to a request under a ticket. The pair identifies the request when it is submitted again.
 *
 * @param ticket the ticket
 * @param number the number, from 0
 */
public record TicketNumber(Ticket ticket, long number) {}
