package org.whinwharf.document.internal;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.whinwharf.schema.Fault;
import org.whinwharf.schema.Problem;
import org.whinwharf.schema.internal.FaultCollector;
import org.whinwharf.schema.internal.FaultCollector.Place;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.Model;
import org.whinwharf.wire.schema.SealingKey;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.schema.Tier;

/** Checks what the parts of a document say about each other. */
public final class DocumentRules {
    /** Length of a sealing key, in bytes. */
    public static final int KEY_BYTES = 32;

    private final Document document;
    private final List<Fault> earlier;
    private final FaultCollector faults;

    private DocumentRules(Document document, List<Fault> earlier, FaultCollector faults) {
        this.document = document;
        this.earlier = earlier;
        this.faults = faults;
    }

    /**
     * Checks a document, which may be partial because of earlier faults.
     *
     * <p>Nothing is reported that merely follows from an earlier fault: a list that could not be read whole is not
     * searched for names.
     *
     * @param document what could be read
     * @param source name that the faults carry
     * @param earlier faults against the schema
     * @return further faults, without lines
     */
    public static List<Fault> check(Document document, String source, List<Fault> earlier) {
        if (earlier.stream().anyMatch(fault -> fault.problem() == Problem.SYNTAX)) {
            return List.of();
        }
        FaultCollector collector = new FaultCollector(source);
        new DocumentRules(document, earlier, collector).checkAll();
        Set<String> reported = earlier.stream().map(Fault::path).collect(Collectors.toSet());
        return collector.all().stream()
                .filter(fault -> !reported.contains(fault.path()))
                .toList();
    }

    private void checkAll() {
        checkDataCentres();
        checkTiers();
        new ServiceRules(this).check();
        new OrganisationRules(this).check();
        checkSealingKeys();
        new DeploymentRules(this).check();
    }

    private void checkDataCentres() {
        boolean anyIn = document.getDataCentresList().stream().anyMatch(DataCentre::getInService);
        if (!anyIn && isWhole("dataCentres")) {
            add("dataCentres", Problem.ALL_OUT_OF_SERVICE, "", "");
        }
    }

    private void checkTiers() {
        Set<Integer> ranks = new HashSet<>();
        for (int i = 0; i < document.getTiersCount(); i++) {
            Tier tier = document.getTiers(i);
            String path = "tiers[" + i + "].rank";
            if (!ranks.add(tier.getRank()) && !hasFault(path)) {
                add(path, Problem.DUPLICATE_RANK, Integer.toString(tier.getRank()), "");
            }
        }
    }

    private void checkSealingKeys() {
        for (int i = 0; i < document.getSealingKeysCount(); i++) {
            SealingKey key = document.getSealingKeys(i);
            checkLength("sealingKeys[" + i + "].key", key.getKey().size(), KEY_BYTES);
        }
    }

    void checkLength(String path, int found, int wanted) {
        if (found != wanted && !hasFault(path)) {
            add(path, Problem.WRONG_LENGTH, Integer.toString(found), Integer.toString(wanted));
        }
    }

    /** Checks names that refer to a list of the document, each once. */
    void checkReferences(String path, List<String> names, String list, Collection<String> known) {
        Set<String> taken = new HashSet<>();
        for (int i = 0; i < names.size(); i++) {
            String entryPath = path + "[" + i + "]";
            if (!taken.add(names.get(i))) {
                add(entryPath, Problem.NOT_UNIQUE, names.get(i), "");
            }
            checkReference(entryPath, names.get(i), list, known);
        }
    }

    void checkReference(String path, String name, String list, Collection<String> known) {
        boolean misspelt = known.isEmpty() && hasUnknownRootField();
        if (!known.contains(name) && isWhole(list) && !misspelt && !hasFault(path)) {
            add(path, Problem.DANGLING_REFERENCE, name, String.join(", ", known));
        }
    }

    void add(String path, Problem problem, String found, String allowed) {
        faults.add(Place.of(path), problem, found, allowed);
    }

    Document document() {
        return document;
    }

    Set<String> tierNames() {
        return names(document.getTiersList().stream().map(Tier::getName).toList());
    }

    Set<String> modelNames() {
        return names(document.getModelsList().stream().map(Model::getName).toList());
    }

    Set<String> serviceNames() {
        return names(
                document.getServicesList().stream().map(ServiceSpec::getName).toList());
    }

    Set<String> dataCentreNames() {
        return names(
                document.getDataCentresList().stream().map(DataCentre::getName).toList());
    }

    boolean hasFault(String path) {
        return earlier.stream().anyMatch(fault -> fault.path().equals(path));
    }

    /** Tells whether every entry of a list could be read with its name. */
    boolean isWhole(String list) {
        return earlier.stream().map(Fault::path).noneMatch(path -> breaksNames(path, list));
    }

    /** Tells whether nothing inside a list was refused. */
    boolean isReadable(String list) {
        return earlier.stream().map(Fault::path).noneMatch(path -> path.startsWith(list));
    }

    /** Tells whether a field of the document itself is unknown, which may be a list under a misspelt name. */
    private boolean hasUnknownRootField() {
        return earlier.stream()
                .filter(fault -> fault.problem() == Problem.UNKNOWN_FIELD)
                .anyMatch(fault -> fault.path().indexOf('.') < 0);
    }

    private static boolean breaksNames(String path, String list) {
        boolean inside = path.startsWith(list + "[") && (path.endsWith("]") || path.endsWith(".name"));
        return path.equals(list) || inside;
    }

    private static Set<String> names(List<String> names) {
        return new LinkedHashSet<>(names);
    }
}
