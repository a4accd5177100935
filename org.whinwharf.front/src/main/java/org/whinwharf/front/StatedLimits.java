package org.whinwharf.front;

import java.util.Random;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.FleetDatagram;

/** What targets state of themselves in their answers, which the fleet keeps as one bound over all processes. */
final class StatedLimits {
    private final StatedRateTracker rates;
    private final RejectionLimitTracker rejections;

    StatedLimits(
            FrontSettings settings,
            MemberTable members,
            TargetRegistry targets,
            PeerDatagrams datagrams,
            Ticker ticker,
            Random random) {
        rates = new StatedRateTracker(settings, members, datagrams, ticker, random);
        rejections = new RejectionLimitTracker(settings, members, datagrams, ticker, random);
        targets.trackRates(rates);
        targets.trackRejectionLimits(rejections);
    }

    /** Returns the rates of requests that targets take. */
    StatedRateTracker rates() {
        return rates;
    }

    /** Returns the rejections that the targets of services bear. */
    RejectionLimitTracker rejections() {
        return rejections;
    }

    /** Tells whether one process has to place the requests of a service because of what its targets state. */
    boolean needCoordinator(String service) {
        return rejections.limited(service) || rates.limitsService(service);
    }

    /** Adds to a gossip datagram what fits. */
    void addTo(FleetDatagram.Builder datagram) {
        rates.addTo(datagram);
        rejections.addTo(datagram);
    }

    /** Sends everything to a process that has just started or was cut off. */
    void sendAllTo(String ip) {
        rates.sendAllTo(ip);
        rejections.sendAllTo(ip);
    }
}
