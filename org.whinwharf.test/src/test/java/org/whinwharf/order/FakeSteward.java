package org.whinwharf.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.whinwharf.document.DocumentView;
import org.whinwharf.membership.Membership;

/** Runs a steward's decisions against fake engines, with a clock and a host list that a test controls. */
final class FakeSteward {
    static final long ORDER_MILLIS = 10_000;

    private final StewardCore core;
    private final Map<String, FakeEngine> engines;
    private final List<Long> sentAtMillis = new ArrayList<>();
    private final List<Long> fencingNumbers = new ArrayList<>();
    private final List<Withheld> withheld = new ArrayList<>();
    private long generation;
    private long listHeardAtMillis = Long.MIN_VALUE;

    FakeSteward(String host, double loadsPerSecond, Map<String, FakeEngine> engines) {
        core = new StewardCore(host, ORDER_MILLIS, loadsPerSecond);
        this.engines = engines;
    }

    StewardCore core() {
        return core;
    }

    void hears(Membership membership, DocumentView document, long nowMillis) {
        core.update(membership, document, nowMillis);
        generation = document.generation();
        listHeardAtMillis = nowMillis;
    }

    void listAnswered(long nowMillis) {
        listHeardAtMillis = nowMillis;
    }

    /** Decides and carries out; {@code pauseMillis} passes between the decision and the sending. */
    void tick(long nowMillis, long unixMillis, long pauseMillis) {
        for (StewardAction action : core.tick(nowMillis, unixMillis, heard())) {
            if (action instanceof StewardAction.ReadState read) {
                String name = read.target().getName();
                core.stateRead(name, engines.get(name).state(), nowMillis);
            } else if (action instanceof StewardAction.SendOrder send) {
                send(send.order(), nowMillis + pauseMillis);
            }
        }
    }

    void run(long fromMillis, long toMillis) {
        for (long now = fromMillis; now < toMillis; now += 100) {
            tick(now, now, 0);
        }
    }

    List<Long> sentAtMillis() {
        return sentAtMillis;
    }

    List<Long> fencingNumbers() {
        return fencingNumbers;
    }

    List<Withheld> withheld() {
        return withheld;
    }

    private void send(PlannedOrder order, long nowMillis) {
        String name = order.target().getName();
        var reason = core.withheld(order, nowMillis, heard(), generation);
        if (reason.isPresent()) {
            withheld.add(reason.get());
            core.answered(name, OrderOutcome.WITHHELD, nowMillis);
            return;
        }
        sentAtMillis.add(nowMillis);
        fencingNumbers.add(order.fencingNumber());
        OrderOutcome outcome = engines.get(name).order(order.step().order(order.fencingNumber(), "http://w"));
        core.answered(name, outcome, nowMillis);
    }

    private OptionalLong heard() {
        return listHeardAtMillis == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(listHeardAtMillis);
    }
}
