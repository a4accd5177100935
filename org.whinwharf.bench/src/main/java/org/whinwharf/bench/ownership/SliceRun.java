package org.whinwharf.bench.ownership;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.whinwharf.membership.Membership;
import org.whinwharf.owner.ProcessId;
import org.whinwharf.owner.Timings;
import org.whinwharf.owner.pledge.HeldPledges;
import org.whinwharf.owner.pledge.MembershipViews;
import org.whinwharf.owner.pledge.Voter;
import org.whinwharf.wire.message.Pledge;
import org.whinwharf.wire.message.PledgeRequest;
import org.whinwharf.wire.message.SliceId;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.EntryPorts;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;
import org.whinwharf.wire.schema.HostState;

/** One slice whose owner or voter dies, with the document's default times. */
final class SliceRun {
    static final Timings TIMINGS = new Timings(1_000, 2_000, 2_000, 1_000, 1_000, 500);
    static final long SETTLED_MILLIS = 20_000;
    static final long STEP_MILLIS = 50;

    private static final int DATA_CENTRES = 4;
    private static final long POLL_MILLIS = 250;
    private static final long ASK_MILLIS = TIMINGS.pledgeMillis() / 3;
    private static final SliceId SLICE =
            SliceId.newBuilder().setService("service").setDataCentre("dc0").build();

    private final Ownership ownership;
    private final int limit;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<String, Voter> voters = new HashMap<>();
    private final Map<String, Owner> owners = new HashMap<>();
    private Membership membership;
    private long revision;
    private long nowMillis;
    private String dead = "";
    private long listedAtMillis = Long.MAX_VALUE;

    SliceRun(Ownership ownership, int hostCount, int limit) {
        this.ownership = ownership;
        this.limit = limit;
        for (int i = 0; i < hostCount; i++) {
            String name = "host-" + i;
            hosts.put(name, host(name, "dc" + i % DATA_CENTRES));
            voters.put(name, new Voter(0));
        }
        publish();
    }

    /** Lets a host die now; the list says so after the bound on its lag. */
    void kill(int candidate) {
        dead = membership.candidates(SLICE).get(candidate).getName();
        listedAtMillis = nowMillis + TIMINGS.listLagMillis();
    }

    void step() {
        nowMillis += STEP_MILLIS;
        if (nowMillis >= listedAtMillis) {
            listedAtMillis = Long.MAX_VALUE;
            hosts.remove(dead);
            publish();
        }
        String first = membership.preferredOwner(SLICE).orElseThrow().getName();
        if (!first.equals(dead)) {
            owners.get(first).step();
        }
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Returns the part of the limit that is in use by a living owner, from 0 to 1. */
    double usable() {
        int usable = 0;
        for (Map.Entry<String, Owner> owner : owners.entrySet()) {
            if (!owner.getKey().equals(dead)) {
                usable += owner.getValue().usable();
            }
        }
        return (double) usable / limit;
    }

    private void publish() {
        HostList list = HostList.newBuilder()
                .setRevision(++revision)
                .addAllHosts(hosts.values())
                .build();
        membership = Membership.of(list, Document.getDefaultInstance());
        hosts.keySet().forEach(name -> owners.computeIfAbsent(name, Owner::new).listed());
    }

    private static Host host(String name, String dataCentre) {
        return Host.newBuilder()
                .setName(name)
                .setDataCentre(dataCentre)
                .setState(HostState.LIVE)
                .setEntry(EntryPorts.getDefaultInstance())
                .build();
    }

    /** What one host does when it is first by the list. */
    private final class Owner {
        private final ProcessId id;
        private final MembershipViews views = new MembershipViews();
        private final HeldPledges book;
        private long listedAt;
        private long firstSinceMillis = Long.MIN_VALUE;
        private long askedAtMillis = -ASK_MILLIS;
        private long measuredAtMillis;

        Owner(String name) {
            id = new ProcessId(name, 1);
            book = ownership.rule() == null ? null : new HeldPledges(SLICE, views, ownership.rule());
        }

        void listed() {
            views.update(membership, TIMINGS, nowMillis);
            listedAt = nowMillis;
        }

        void step() {
            if (firstSinceMillis == Long.MIN_VALUE) {
                firstSinceMillis = listedAt;
            }
            if (nowMillis - measuredAtMillis >= POLL_MILLIS) {
                measuredAtMillis = nowMillis;
            }
            if (book != null && nowMillis - askedAtMillis >= ASK_MILLIS) {
                askedAtMillis = nowMillis;
                views.voters(SLICE).forEach(this::ask);
            }
        }

        int usable() {
            if (firstSinceMillis == Long.MIN_VALUE) {
                return 0;
            }
            if (book != null) {
                return book.usableSlots(limit, measuredAtMillis, nowMillis);
            }
            long waitMillis = TIMINGS.upperBoundMillis(TIMINGS.listLagMillis()) + TIMINGS.grantExpiryMillis();
            return measuredAtMillis >= firstSinceMillis + waitMillis ? limit : 0;
        }

        private void ask(String voter) {
            if (voter.equals(dead)) {
                return;
            }
            PledgeRequest request = PledgeRequest.newBuilder()
                    .addSlices(SLICE)
                    .setSentAtMillis(nowMillis)
                    .build();
            Pledge pledge = voters.get(voter).answer(id, request, membership, TIMINGS, nowMillis);
            if (pledge.getSlicesCount() > 0) {
                book.add(
                        voter,
                        pledge.getEchoMillis(),
                        pledge.getGoodMillis(),
                        pledge.getQuietMillis(0),
                        TIMINGS,
                        nowMillis);
            }
        }
    }
}
