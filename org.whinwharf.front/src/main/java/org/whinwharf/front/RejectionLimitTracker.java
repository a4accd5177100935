package org.whinwharf.front;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.BiConsumer;
import org.whinwharf.time.Ticker;
import org.whinwharf.traffic.member.MemberTable;
import org.whinwharf.wire.fleet.FleetDatagram;
import org.whinwharf.wire.fleet.RejectionLimitReport;

/**
 * Tells the fleet how many rejections per second the targets of services bear, since a process that has not read it yet
 * fills targets by itself.
 */
final class RejectionLimitTracker {
    private final FrontSettings settings;
    private final MemberTable members;
    private final PeerDatagrams datagrams;
    private final Ticker ticker;
    private final Random random;
    /** Newest statement on each service that has ever stated a limit; the number of services bounds it. */
    private final Map<String, Statement> statements = new HashMap<>();

    private BiConsumer<String, Boolean> changeListener = (service, limited) -> {};

    /**
     * What one answer said.
     *
     * @param id random number, by which the statement is recognised when several peers pass it on
     */
    private record Statement(long id, OptionalInt limitPerSecond, long statedAtMillis) {}

    RejectionLimitTracker(
            FrontSettings settings, MemberTable members, PeerDatagrams datagrams, Ticker ticker, Random random) {
        this.settings = settings;
        this.members = members;
        this.datagrams = datagrams;
        this.ticker = ticker;
        this.random = random;
        datagrams.addListener((datagram, senderIp) -> receive(datagram));
    }

    /** Sets the consumer of services whose targets state a limit from now on, or no longer do. */
    void onChange(BiConsumer<String, Boolean> listener) {
        changeListener = listener;
    }

    /** Tells whether the targets of a service crash when they reject too many requests in a second. */
    boolean limited(String service) {
        Statement known = statements.get(service);
        return known != null && known.limitPerSecond().isPresent();
    }

    /**
     * Records what an answer says; one without a limit ends only limits stated before its request was sent.
     *
     * @param sentAtMillis monotonic time in milliseconds at which the request was sent
     */
    void answered(String service, OptionalInt limitPerSecond, long sentAtMillis) {
        Statement known = statements.get(service);
        boolean says = limitPerSecond.isPresent() || limited(service) && sentAtMillis > known.statedAtMillis();
        if (!says) {
            return;
        }
        if (apply(service, new Statement(random.nextLong(), limitPerSecond, ticker.nowMillis()))) {
            members.alive(ticker.nowMillis())
                    .forEach(member -> sendAllTo(member.report().getIp()));
        }
    }

    /** Sends all limits to a peer, if there are any. */
    void sendAllTo(String ip) {
        if (!statements.isEmpty()) {
            FleetDatagram.Builder datagram = FleetDatagram.newBuilder().setFrom(settings.name());
            addTo(datagram);
            datagrams.send(datagram.build(), ip);
        }
    }

    /** Replaces what is known of a service; returns whether that is another limit. */
    private boolean apply(String service, Statement statement) {
        Statement before = statements.put(service, statement);
        boolean changed = before == null
                ? statement.limitPerSecond().isPresent()
                : !before.limitPerSecond().equals(statement.limitPerSecond());
        if (changed) {
            FrontLog.rejectionLimitChanged(service, statement.limitPerSecond());
            changeListener.accept(service, statement.limitPerSecond().isPresent());
        }
        return changed;
    }

    /** Adds all limits to a datagram. */
    void addTo(FleetDatagram.Builder datagram) {
        long nowMillis = ticker.nowMillis();
        statements.forEach((service, statement) -> datagram.addRejectionLimits(RejectionLimitReport.newBuilder()
                .setId(statement.id())
                .setService(service)
                .setLimited(statement.limitPerSecond().isPresent())
                .setLimit(statement.limitPerSecond().orElse(0))
                .setAgeMillis((int) Math.max(0, nowMillis - statement.statedAtMillis()))));
    }

    private void receive(FleetDatagram datagram) {
        long nowMillis = ticker.nowMillis();
        for (RejectionLimitReport report : datagram.getRejectionLimitsList()) {
            Statement known = statements.get(report.getService());
            Statement reported = new Statement(
                    report.getId(),
                    report.getLimited() ? OptionalInt.of(report.getLimit()) : OptionalInt.empty(),
                    nowMillis - report.getAgeMillis());
            if (known == null || known.id() != reported.id() && reported.statedAtMillis() > known.statedAtMillis()) {
                apply(report.getService(), reported);
            }
        }
    }
}
