package org.whinwharf.front;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.traffic.placement.ColdShares;
import org.whinwharf.traffic.placement.RendezvousColdShares;
import org.whinwharf.traffic.target.Target;
import org.whinwharf.wire.fleet.MemberReport;

/** Requests per second that this process may let cold targets receive, as a sender and as a coordinator. */
final class ColdAllowances {
    /** Number of processes that share the capacity of a cold target as coordinators of its service. */
    private static final int COORDINATORS = 2;

    private final MemberTable members;
    private final Ticker ticker;
    private final Predicate<String> coordinatedServices;
    private final ToIntFunction<String> localRanks;
    private final Function<Target, Double> capacities;
    private final ColdShares shares;

    /**
     * Creates the allowances of this process.
     *
     * @param localName name of this process
     * @param coordinatedServices matches the services whose requests a coordinator places
     * @param localRanks returns the rank of this process among the coordinators of a service
     * @param capacities returns the requests per second that a cold target takes from all processes together
     */
    ColdAllowances(
            String localName,
            MemberTable members,
            Ticker ticker,
            Predicate<String> coordinatedServices,
            ToIntFunction<String> localRanks,
            Function<Target, Double> capacities) {
        this.members = members;
        this.ticker = ticker;
        this.coordinatedServices = coordinatedServices;
        this.localRanks = localRanks;
        this.capacities = capacities;
        shares = new RendezvousColdShares(localName, this::senderNames, capacities);
    }

    private List<String> senderNames() {
        long nowMillis = ticker.nowMillis();
        if (members.inMinority(nowMillis)) {
            return members.possiblyServingNames(nowMillis);
        }
        return members.serving(nowMillis).stream()
                .map(MemberReport::getName)
                .collect(Collectors.toCollection(ArrayList::new));
    }

    /**
     * Returns the number of requests that local placement may send to a cold target. In a coordinated service this is
     * zero: for a short time two processes may both coordinate it, and together they use the whole capacity of a cold
     * target.
     */
    int ofProcess(Target target) {
        return coordinatedServices.test(target.service()) ? 0 : shares.allowance(target);
    }

    /**
     * Returns the number of requests that this process, as a coordinator, may let a cold target receive: half of its
     * capacity for each of the first two in rank, since for a short time both may coordinate. Any further process
     * coordinates only because those before it seem silent to some, who may still hear them. In the minority of a fleet
     * the capacity is shared out among all processes that may coordinate, and in a service whose requests are placed
     * locally it is shared out already.
     */
    int ofCoordinator(Target target) {
        if (!coordinatedServices.test(target.service())) {
            return 0;
        }
        if (members.inMinority(ticker.nowMillis())) {
            return shares.allowance(target);
        }
        boolean mayCoordinate = localRanks.applyAsInt(target.service()) < COORDINATORS;
        return mayCoordinate ? (int) Math.max(1, capacities.apply(target) / COORDINATORS) : 0;
    }
}
