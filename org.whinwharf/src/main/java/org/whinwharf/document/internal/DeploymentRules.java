package org.whinwharf.document.internal;

import java.util.Set;
import java.util.stream.Collectors;
import org.whinwharf.schema.Problem;
import org.whinwharf.wire.schema.Deployment;
import org.whinwharf.wire.schema.ServiceKind;
import org.whinwharf.wire.schema.ServiceSpec;

/** Checks which engines a document says are to serve which models. */
final class DeploymentRules {
    private final DocumentRules rules;
    private final Set<String> plainServices;

    DeploymentRules(DocumentRules rules) {
        this.rules = rules;
        this.plainServices = rules.document().getServicesList().stream()
                .filter(service -> service.getKind() == ServiceKind.PLAIN)
                .map(ServiceSpec::getName)
                .collect(Collectors.toSet());
    }

    void check() {
        for (int i = 0; i < rules.document().getDeploymentsCount(); i++) {
            check(rules.document().getDeployments(i), "deployments[" + i + "]");
        }
    }

    private void check(Deployment deployment, String path) {
        rules.checkReference(path + ".service", deployment.getService(), "services", rules.serviceNames());
        if (plainServices.contains(deployment.getService())) {
            rules.add(path + ".service", Problem.WRONG_KIND, ServiceKind.PLAIN.name(), "");
        }
        if (!deployment.getDataCentre().isEmpty()) {
            rules.checkReference(
                    path + ".dataCentre", deployment.getDataCentre(), "dataCentres", rules.dataCentreNames());
        }
        rules.checkReferences(path + ".models", deployment.getModelsList(), "models", rules.modelNames());
    }
}
