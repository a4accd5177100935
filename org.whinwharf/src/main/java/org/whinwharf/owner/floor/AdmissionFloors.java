package org.whinwharf.owner.floor;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.whinwharf.owner.Timings;
import org.whinwharf.wire.message.FloorCleared;
import org.whinwharf.wire.message.FloorRaise;

/**
 * Admission thresholds of services, called floors in the messages: while a floor is in force, every owner of the
 * service refuses and evicts the requests of tiers below its rank.
 *
 * <p>An owner that must shed a request first raises the floor to the rank of that request. It sheds the request only
 * when all reachable owners have cleared their queues below the floor, or when the wait for them times out. Otherwise
 * an owner with a full queue would refuse a request of a high tier while the owner of another slice keeps one of a low
 * tier.
 */
public final class AdmissionFloors {
    /** Time for which a floor remains in force at other owners without renewal. */
    public static final long VALIDITY_MILLIS = 3_000;

    private static final long RENEW_INTERVAL_MILLIS = 1_000;
    private static final long LOWERING_DELAY_MILLIS = 2_000;

    private final Map<String, LocalFloor> localFloors = new HashMap<>();
    private final Map<RemoteFloorKey, RemoteFloor> remoteFloors = new HashMap<>();
    private long nextNumber;

    /**
     * Creates the floors of a process; none is raised.
     *
     * @param firstNumber number of the first floor that this process raises; differs between processes
     */
    public AdmissionFloors(long firstNumber) {
        this.nextNumber = firstNumber;
    }

    /**
     * Raises the floor of a service, or extends it when it is already high enough.
     *
     * @param service the service
     * @param rank rank of the request to shed
     * @param nowMillis current time
     * @return true when the floor is new or higher than before, so that it must be announced to the other owners
     */
    public boolean raise(String service, int rank, long nowMillis) {
        LocalFloor current = localFloors.get(service);
        if (current != null && current.rank >= rank) {
            current.neededAtMillis = nowMillis;
            return false;
        }
        localFloors.put(service, new LocalFloor(nextNumber++, rank, nowMillis));
        return true;
    }

    /**
     * Extends the floor of a service when one is raised; does nothing otherwise.
     *
     * @param service the service
     * @param nowMillis current time
     */
    public void extend(String service, long nowMillis) {
        LocalFloor floor = localFloors.get(service);
        if (floor != null) {
            floor.neededAtMillis = nowMillis;
        }
    }

    /**
     * Returns the message that announces or renews a floor, and records the owners that must confirm it.
     *
     * @param service the service
     * @param owners hosts that may own slices of the service
     * @param nowMillis current time
     * @return the message
     */
    public FloorRaise announce(String service, Set<String> owners, long nowMillis) {
        LocalFloor floor = localFloors.get(service);
        floor.announcedTo.addAll(owners);
        floor.announcedAtMillis = nowMillis;
        return FloorRaise.newBuilder()
                .setService(service)
                .setRank(floor.rank)
                .setGoodMillis(VALIDITY_MILLIS)
                .setFloor(floor.number)
                .build();
    }

    /**
     * Returns the services whose floors are due for renewal.
     *
     * @param nowMillis current time
     * @return names of services
     */
    public List<String> servicesToAnnounce(long nowMillis) {
        List<String> services = new ArrayList<>();
        localFloors.forEach((service, floor) -> {
            if (nowMillis - floor.announcedAtMillis >= RENEW_INTERVAL_MILLIS) {
                services.add(service);
            }
        });
        return services;
    }

    /**
     * Lowers the floors that are no longer needed, and removes expired floors of other owners.
     *
     * @param nowMillis current time
     * @return numbers of the lowered floors, by service
     */
    public Map<String, Long> lowerUnneeded(long nowMillis) {
        Map<String, Long> lowered = new HashMap<>();
        localFloors.entrySet().removeIf(entry -> {
            boolean unneeded = nowMillis - entry.getValue().neededAtMillis > LOWERING_DELAY_MILLIS;
            if (unneeded) {
                lowered.put(entry.getKey(), entry.getValue().number);
            }
            return unneeded;
        });
        remoteFloors.values().removeIf(remoteFloor -> remoteFloor.expiryMillis() <= nowMillis);
        return lowered;
    }

    /**
     * Records the confirmation of an owner that its queue holds no request below a floor.
     *
     * @param host host of the owner
     * @param cleared message of the owner
     */
    public void recordCleared(String host, FloorCleared cleared) {
        LocalFloor floor = localFloors.get(cleared.getService());
        if (floor != null && floor.number == cleared.getFloor()) {
            floor.cleared.add(host);
        }
    }

    /**
     * Returns whether a request may be shed.
     *
     * @param service the service
     * @param rank rank of the request
     * @param reachable hosts to which this process has links
     * @param timings timings of the current document
     * @param nowMillis current time
     * @return true when all reachable owners have cleared their queues below the rank, or the wait for them has timed
     *     out
     */
    public boolean mayShed(String service, int rank, Set<String> reachable, Timings timings, long nowMillis) {
        LocalFloor floor = localFloors.get(service);
        if (floor == null || floor.rank < rank) {
            return false;
        }
        boolean allCleared =
                floor.announcedTo.stream().allMatch(host -> floor.cleared.contains(host) || !reachable.contains(host));
        return allCleared || nowMillis - floor.raisedAtMillis >= timings.floorWaitMillis();
    }

    /**
     * Adds or renews a floor of another owner.
     *
     * @param host host of the owner
     * @param raise the message
     * @param nowMillis current time
     */
    public void addRemote(String host, FloorRaise raise, long nowMillis) {
        RemoteFloorKey key = new RemoteFloorKey(host, raise.getService(), raise.getFloor());
        remoteFloors.put(key, new RemoteFloor(raise.getRank(), nowMillis + raise.getGoodMillis()));
    }

    /**
     * Removes a floor of another owner.
     *
     * @param host host of the owner
     * @param service the service
     * @param floor number of the floor
     */
    public void removeRemote(String host, String service, long floor) {
        remoteFloors.remove(new RemoteFloorKey(host, service, floor));
    }

    /**
     * Returns the rank below which requests are currently refused.
     *
     * @param service the service
     * @param nowMillis current time
     * @return the highest rank of all floors in force; 0 when there is none
     */
    public int effectiveRank(String service, long nowMillis) {
        LocalFloor localFloor = localFloors.get(service);
        int rank = localFloor == null ? 0 : localFloor.rank;
        for (Map.Entry<RemoteFloorKey, RemoteFloor> entry : remoteFloors.entrySet()) {
            if (entry.getKey().service().equals(service)
                    && nowMillis < entry.getValue().expiryMillis()) {
                rank = Math.max(rank, entry.getValue().rank());
            }
        }
        return rank;
    }

    private record RemoteFloorKey(String host, String service, long floor) {}

    private record RemoteFloor(int rank, long expiryMillis) {}

    /** Floor raised by this process. */
    private static final class LocalFloor {
        private final long number;
        private final int rank;
        private final long raisedAtMillis;
        private final Set<String> announcedTo = new HashSet<>();
        private final Set<String> cleared = new HashSet<>();
        private long neededAtMillis;
        private long announcedAtMillis;

        LocalFloor(long number, int rank, long nowMillis) {
            this.number = number;
            this.rank = rank;
            this.raisedAtMillis = nowMillis;
            this.neededAtMillis = nowMillis;
            this.announcedAtMillis = nowMillis;
        }
    }
}
