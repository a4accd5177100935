package org.whinwharf.bench.ownership;

import org.whinwharf.owner.pledge.ShareRule;

/** Ways to own a slice that are compared. */
enum Ownership {
    /** The host that is first by the list owns the whole once every grant of its predecessor has surely run out. */
    WAIT_OUT("a: wait out", null),
    /** A majority of pledges gives the whole. */
    MAJORITY("b: majority only", ShareRule.MAJORITY),
    /** Each owner uses its part of the pledges. */
    SHARE("c: share", ShareRule.PROPORTIONAL),
    /** As the share, with the rest to the majority. */
    REST("d: share, rest to the majority", ShareRule.REST_TO_MAJORITY);

    private final String label;
    private final ShareRule rule;

    Ownership(String label, ShareRule rule) {
        this.label = label;
        this.rule = rule;
    }

    String label() {
        return label;
    }

    /** Returns how pledges are counted; null when there are none. */
    ShareRule rule() {
        return rule;
    }
}
