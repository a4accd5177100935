package org.whinwharf.traffic.policy;

/** A part of the policy that can be switched off alone, to measure what it is worth on a fleet. */
public enum Mechanism {
    /** Routes of short requests wait in the rank above their own. */
    JOINED_RANKS,
    /** Who would wait in vain is refused on arrival. */
    REFUSAL_ON_ARRIVAL,
    /** A request that would be late at the best free target waits for a faster one. */
    HELD_FOR_FASTER,
    /** A line that has not emptied for long keeps requests for a short time only. */
    SHORT_STANDING_LINE,
    /** A wait is predicted by what the own rank and those below got, and not by what all got. */
    PACE_BY_RANK,
    /** Refused callers come back the later the longer the line has stood. */
    ADVICE_BY_STANDING,
    /** A target that speaks with anybody is not ejected for its silence towards one process. */
    SILENCE_TO_ALL,
    /** Within a rank, those that can still meet their objective go first. */
    ON_TIME_FIRST,
    /** The lower a route's rank, the more slots stay free behind it. */
    RESERVE_BY_RANK,
    /** Long answers prefer targets that write fast. */
    ANSWER_LENGTH,
    /** Targets at which an answer would outlast its deadline are avoided. */
    DEADLINE_FIT,
    /** Prompts prefer targets that read them lately. */
    PROMPT_MEMORY,
    /** Targets get some requests more than they have slots. */
    BEYOND_SLOTS,
    /** Predictions follow what each target showed. */
    LEARNED_SPEED
}
