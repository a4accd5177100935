package org.whinwharf.bench.history;

import java.util.List;
import java.util.Optional;
import org.whinwharf.standin.record.CallRecord;
import org.whinwharf.standin.record.EngineRecord;

/**
 * What one target recorded.
 *
 * @param name name of the target in the host list
 * @param dataCentre its data centre
 * @param engine record of a model engine; absent for a plain service
 * @param calls calls that a plain service ran; empty for an engine
 */
public record TargetHistory(String name, String dataCentre, Optional<EngineRecord> engine, List<CallRecord> calls) {}
