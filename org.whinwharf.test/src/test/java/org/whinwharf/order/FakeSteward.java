package org.whinwharf.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.whinwharf.document.DocumentView;
import org.whinwharf.membership.Membership;

/** Runs a {@link StewardCore} against fake engines. Tests control the clock and the host list. */
final class FakeSteward {
    static final long ORDER_TIMEOUT_MILLIS = 10_000;

    private final StewardCore core;
    private final Map<String, FakeEngine> engines;
    private final List<Long> sentAtMillis = new ArrayList<>();
    private final List<Long> fencingNumbers = new ArrayList<>();
    private final List<WithholdReason> withholdReasons = new ArrayList<>();
    private long generation;
    private long listConfirmedAtMillis = Long.MIN_VALUE;

    FakeSteward(String host, double loadsPerSecond, Map<String, FakeEngine> engines) {
        core = new StewardCore(host, ORDER_TIMEOUT_MILLIS, loadsPerSecond);
        this.engines = engines;
    }

    StewardCore core() {
        return core;
    }

    void update(Membership membership, DocumentView document, long nowMillis) {
        core.update(membership, document, nowMillis);
        generation = document.generation();
        listConfirmedAtMillis = nowMillis;
    }

    void confirmList(long nowMillis) {
        listConfirmedAtMillis = nowMillis;
    }

    /** Plans and executes the actions that are due. Orders are sent {@code pauseMillis} after the decision. */
    void tick(long nowMillis, long unixMillis, long pauseMillis) {
        for (StewardAction action : core.tick(nowMillis, unixMillis, listConfirmedAt())) {
            if (action instanceof StewardAction.ReadState read) {
                String name = read.target().getName();
                core.stateRead(name, engines.get(name).state(), nowMillis);
            } else if (action instanceof StewardAction.SendOrder send) {
                sendOrder(send.order(), nowMillis + pauseMillis);
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

    List<WithholdReason> withholdReasons() {
        return withholdReasons;
    }

    private void sendOrder(PlannedOrder order, long nowMillis) {
        String name = order.target().getName();
        var reason = core.withholdReason(order, nowMillis, listConfirmedAt(), generation);
        if (reason.isPresent()) {
            withholdReasons.add(reason.get());
            core.orderFinished(name, OrderOutcome.WITHHELD, nowMillis);
            return;
        }
        sentAtMillis.add(nowMillis);
        fencingNumbers.add(order.fencingNumber());
        OrderOutcome outcome = engines.get(name).order(order.step().toOrder(order.fencingNumber(), "http://w"));
        core.orderFinished(name, outcome, nowMillis);
    }

    private OptionalLong listConfirmedAt() {
        return listConfirmedAtMillis == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(listConfirmedAtMillis);
    }
}
