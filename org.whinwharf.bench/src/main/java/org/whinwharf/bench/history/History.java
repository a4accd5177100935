package org.whinwharf.bench.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.whinwharf.standin.StandInText;
import org.whinwharf.standin.record.CallRecord;
import org.whinwharf.standin.record.StreamRecord;

/** A run as its callers and its targets saw it, indexed for the rules. */
public final class History {
    private final List<HistoryEntry> entries;
    private final List<TargetHistory> targets;
    private final List<Withdrawal> withdrawals;
    private final Tolerances tolerances;
    private final List<Admission> admissions = new ArrayList<>();
    private final Map<String, List<Admission>> byRequest;
    private final Map<String, List<Admission>> byInput;
    private final Set<String> targetNames = new HashSet<>();

    /**
     * Joins what callers and targets recorded.
     *
     * @param entries attempts of all callers
     * @param targets records of all targets that could be read
     * @param withdrawals times in which data centres or targets were out
     * @param tolerances how late something may be seen
     */
    public History(
            List<HistoryEntry> entries,
            List<TargetHistory> targets,
            List<Withdrawal> withdrawals,
            Tolerances tolerances) {
        this.entries = List.copyOf(entries);
        this.targets = List.copyOf(targets);
        this.withdrawals = List.copyOf(withdrawals);
        this.tolerances = tolerances;
        targets.forEach(this::addAdmissions);
        this.byRequest = admissions.stream().collect(Collectors.groupingBy(Admission::requestId));
        this.byInput = admissions.stream().collect(Collectors.groupingBy(Admission::inputDigest));
    }

    /**
     * Applies every rule.
     *
     * @return all breaches, by rule; empty for a clean history
     */
    public List<Violation> violations() {
        List<Violation> violations = new ArrayList<>();
        for (Rule rule : Rule.values()) {
            rule.check(this, (subject, detail) -> violations.add(new Violation(rule, subject, detail)));
        }
        return violations;
    }

    List<HistoryEntry> entries() {
        return entries;
    }

    List<TargetHistory> targets() {
        return targets;
    }

    List<Withdrawal> withdrawals() {
        return withdrawals;
    }

    Tolerances tolerances() {
        return tolerances;
    }

    List<Admission> admissions() {
        return admissions;
    }

    Map<String, List<Admission>> admissionsByRequest() {
        return byRequest;
    }

    List<Admission> admissionsOf(String requestId) {
        return byRequest.getOrDefault(requestId, List.of());
    }

    /** Returns every admission of what the intent asks for, under whatever id it came. */
    List<Admission> admissionsOfInput(HistoryEntry entry) {
        String input = entry.prompt().map(prompt -> prompt.text()).orElse(entry.body());
        return byInput.getOrDefault(StandInText.inputDigest(input), List.of());
    }

    boolean knowsTarget(String name) {
        return targetNames.contains(name);
    }

    Map<String, List<HistoryEntry>> byIntent() {
        Map<String, List<HistoryEntry>> intents = new HashMap<>();
        for (HistoryEntry entry : entries) {
            intents.computeIfAbsent(entry.intent(), name -> new ArrayList<>()).add(entry);
        }
        return intents;
    }

    private void addAdmissions(TargetHistory target) {
        targetNames.add(target.name());
        target.engine().ifPresent(engine -> engine.streams().forEach(stream -> add(target, stream)));
        target.calls().forEach(call -> add(target, call));
    }

    private void add(TargetHistory target, StreamRecord stream) {
        admissions.add(new Admission(
                target.name(),
                target.dataCentre(),
                stream.id(),
                stream.inputDigest(),
                stream.startMillis(),
                stream.posts()));
    }

    private void add(TargetHistory target, CallRecord call) {
        admissions.add(
                new Admission(target.name(), target.dataCentre(), call.id(), call.inputDigest(), call.atMillis(), 1));
    }
}
