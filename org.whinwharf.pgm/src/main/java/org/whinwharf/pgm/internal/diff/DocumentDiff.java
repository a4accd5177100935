package org.whinwharf.pgm.internal.diff;

import java.util.List;
import java.util.Optional;
import org.whinwharf.pgm.internal.fleet.FleetLoad;
import org.whinwharf.wire.schema.Deployment;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.Model;
import org.whinwharf.wire.schema.ServiceSpec;

/** Compares two valid documents. */
public final class DocumentDiff {
    private DocumentDiff() {}

    /**
     * Lists what changes.
     *
     * @param before the document in force
     * @param after the one that is to follow
     * @param load load of the fleet; empty when it could not be asked
     * @return changes, area by area
     */
    public static List<Change> between(Document before, Document after, Optional<FleetLoad> load) {
        Changes changes = new Changes();
        generation(before, after, changes);
        new DataCentreDiff(before, after, load, changes).call();
        new TierDiff(before, after, changes).call();
        FieldDiff fields = new FieldDiff(changes);
        fields.lists("models", before.getModelsList(), after.getModelsList(), Model::getName);
        fields.lists("services", before.getServicesList(), after.getServicesList(), ServiceSpec::getName);
        fields.lists("deployments", before.getDeploymentsList(), after.getDeploymentsList(), Deployment::getName);
        new OrganisationDiff(before, after, changes).call();
        new SealingKeyDiff(before, after, changes).call();
        fields.fields("retryBudget", "retryBudget", before.getRetryBudget(), after.getRetryBudget());
        fields.fields("timing", "timing", before.getTiming(), after.getTiming());
        return changes.all();
    }

    private static void generation(Document before, Document after, Changes changes) {
        String old = Long.toString(before.getGeneration());
        String fresh = Long.toString(after.getGeneration());
        if (!before.getEnvironment().equals(after.getEnvironment())) {
            changes.plain("environment", "diff.environment", before.getEnvironment(), after.getEnvironment());
        } else if (after.getGeneration() > before.getGeneration()) {
            changes.plain("generation", "diff.generation", old, fresh);
        } else {
            changes.risky("generation", "diff.generation.low", old, fresh);
        }
    }
}
