package org.whinwharf.home;

import org.whinwharf.ticket.Ticket;

/**
 * Number that a caller gave its request under a ticket.
 *
 * @param ticket the ticket
 * @param number the number, from 0
 */
public record TicketNumber(Ticket ticket, long number) {}
