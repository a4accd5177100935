package org.whinwharf.standin.record;

import java.util.List;

/**
 * Everything that an engine did since its process started.
 *
 * @param startNumber number of its latest start
 * @param maxInFlight most streams that were ever in flight
 * @param maxInFlightCold most streams that were in flight while it was cold
 * @param overloads admissions beyond what the engine bore while cold
 * @param streams every stream that was ever admitted, in order of admission
 * @param orders every order, in order of arrival
 */
public record EngineRecord(
        long startNumber,
        int maxInFlight,
        int maxInFlightCold,
        List<Overload> overloads,
        List<StreamRecord> streams,
        List<OrderRecord> orders) {}
