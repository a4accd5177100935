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
 * Floors of services: while a floor stands nothing below its rank is kept or admitted by any owner of the service.
 *
 * <p>An owner that must shed a request raises the floor to that request's rank first, and sheds it only when all owners
 * that it reaches have cleared what waits below, or when the wait for them is over. Without this an owner with a full
 * queue would turn away a high tier while the owner of the next slice keeps a low one.
 */
public final class AdmissionFloors {
    /** How long a floor stands at others without being renewed. */
    public static final long VALIDITY_MILLIS = 3_000;

    private static final long RENEW_INTERVAL_MILLIS = 1_000;
    private static final long LOWERING_DELAY_MILLIS = 2_000;

    private final Map<String, LocalFloor> localFloors = new HashMap<>();
    private final Map<RemoteFloorKey, RemoteFloor> remoteFloors = new HashMap<>();
    private long nextNumber;

    /**
     * Creates the floors of a process.
     *
     * @param firstNumber number of the first floor that is raised; differs between processes
     */
    public AdmissionFloors(long firstNumber) {
        this.nextNumber = firstNumber;
    }

    /**
     * Raises the floor of a service, or keeps it up.
     *
     * @param service the service
     * @param rank rank that is to be shed
     * @param nowMillis time now
     * @return true when the floor is new or higher than before, so that others must be told
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
     * Keeps a floor up that was raised before; does nothing when there is none.
     *
     * @param service the service
     * @param nowMillis time now
     */
    public void extend(String service, long nowMillis) {
        LocalFloor floor = localFloors.get(service);
        if (floor != null) {
            floor.neededAtMillis = nowMillis;
        }
    }

    /**
     * Returns the message that raises the floor, for owners that have not cleared yet or must be renewed.
     *
     * @param service the service
     * @param owners hosts that may own slices of the service
     * @param nowMillis time now
     * @return the message
     */
    public FloorRaise announce(String service, Set<String> owners, long nowMillis) {
        LocalFloor floor = localFloors.get(service);
        floor.asked.addAll(owners);
        floor.announcedAtMillis = nowMillis;
        return FloorRaise.newBuilder()
                .setService(service)
                .setRank(floor.rank)
                .setGoodMillis(VALIDITY_MILLIS)
                .setFloor(floor.number)
                .build();
    }

    /**
     * Returns the services whose floor must be announced again.
     *
     * @param nowMillis time now
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
     * Lowers the floors that are needed no more.
     *
     * @param nowMillis time now
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
     * Records that an owner keeps nothing below a floor.
     *
     * @param host host of the owner
     * @param cleared its answer
     */
    public void recordCleared(String host, FloorCleared cleared) {
        LocalFloor floor = localFloors.get(cleared.getService());
        if (floor != null && floor.number == cleared.getFloor()) {
            floor.cleared.add(host);
        }
    }

    /**
     * Tells whether a request may be shed.
     *
     * @param service the service
     * @param rank rank of the request
     * @param reachable hosts that this process has links to
     * @param timings times in force
     * @param nowMillis time now
     * @return true when nothing below the rank is kept by those that can be reached
     */
    public boolean mayShed(String service, int rank, Set<String> reachable, Timings timings, long nowMillis) {
        LocalFloor floor = localFloors.get(service);
        if (floor == null || floor.rank < rank) {
            return false;
        }
        boolean allCleared =
                floor.asked.stream().allMatch(host -> floor.cleared.contains(host) || !reachable.contains(host));
        return allCleared || nowMillis - floor.raisedAtMillis >= timings.floorWaitMillis();
    }

    /**
     * Takes in a floor of another owner.
     *
     * @param host host of the owner
     * @param raise the message
     * @param nowMillis time now
     */
    public void addRemote(String host, FloorRaise raise, long nowMillis) {
        RemoteFloorKey key = new RemoteFloorKey(host, raise.getService(), raise.getFloor());
        remoteFloors.put(key, new RemoteFloor(raise.getRank(), nowMillis + raise.getGoodMillis()));
    }

    /**
     * Ends a floor of another owner.
     *
     * @param host host of the owner
     * @param service the service
     * @param floor number of the floor
     */
    public void removeRemote(String host, String service, long floor) {
        remoteFloors.remove(new RemoteFloorKey(host, service, floor));
    }

    /**
     * Returns the rank below which nothing is kept now.
     *
     * @param service the service
     * @param nowMillis time now
     * @return the highest rank of all floors that stand; 0 when none does
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

    /** Floor that this process has raised. */
    private static final class LocalFloor {
        private final long number;
        private final int rank;
        private final long raisedAtMillis;
        private final Set<String> asked = new HashSet<>();
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
