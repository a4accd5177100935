package org.whinwharf.traffic.policy;

/** A mechanism of the scheduling policy. Each can be disabled separately to measure its effect on a fleet. */
public enum Mechanism {
    /** Requests of routes with short requests are queued in the next higher rank. */
    JOINED_RANKS,
    /** A request whose estimated wait exceeds its queue timeout is rejected on arrival. */
    REFUSAL_ON_ARRIVAL,
    /** A request that would be late at the best free target stays queued for a faster one. */
    HELD_FOR_FASTER,
    /** A backlog shortens the queue timeout. */
    SHORT_STANDING_LINE,
    /** Waits are estimated from placements of the same and lower ranks instead of all ranks. */
    PACE_BY_RANK,
    /** The Retry-After delay grows with the age of the backlog. */
    ADVICE_BY_STANDING,
    /** A target that answers any process is not ejected for its silence towards one process. */
    SILENCE_TO_ALL,
    /** Within a rank, requests that can still meet their objective are served first. */
    ON_TIME_FIRST,
    /** The lower the rank of a route, the more slots of a target are reserved for higher ranks. */
    RESERVE_BY_RANK,
    /** Requests with long answers prefer targets that generate tokens fast. */
    ANSWER_LENGTH,
    /** Targets that would finish an answer after its deadline are avoided. */
    DEADLINE_FIT,
    /** A request that would be cut off at its deadline at the best free target stays queued for a faster one. */
    HELD_TO_END_IN_TIME,
    /** Within a rank, requests that hold a slot for less time than usual get a head start in the queue. */
    SHORT_FIRST,
    /** Lengths of answers are taken from the callers' estimates instead of the maximum. */
    EXPECTED_LENGTH,
    /** Requests prefer targets that have read their prompt recently. */
    PROMPT_MEMORY,
    /** Targets receive slightly more requests than they have slots. */
    BEYOND_SLOTS,
    /** Predictions use the measured speed of each target. */
    LEARNED_SPEED,
    /** Within a rank, organisations that compete for a service are served by their shares of its slots. */
    ORGANISATION_SHARES,
    /**
     * Targets are compared with the others of their service, and none gets more requests at once than it takes without
     * slowing down.
     */
    LEARNED_LIMITS,
    /** Rejected callers are told times at which there is room, dealt out so that they do not all return at once. */
    SCHEDULED_RETURNS,
    /** Callers are directed to hosts in proportion to their processor time, and not to those that coordinate. */
    HOSTS_BY_CAPACITY,
    /** Targets that state how many requests per second they take get no more from all processes together. */
    STATED_RATES
}
