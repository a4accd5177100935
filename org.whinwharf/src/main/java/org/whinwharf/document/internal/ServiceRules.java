package org.whinwharf.document.internal;

import org.whinwharf.schema.Problem;
import org.whinwharf.wire.schema.ServiceKind;
import org.whinwharf.wire.schema.ServiceSpec;

/** Checks the services of a document. */
final class ServiceRules {
    private final DocumentRules rules;

    ServiceRules(DocumentRules rules) {
        this.rules = rules;
    }

    void check() {
        for (int i = 0; i < rules.document().getServicesCount(); i++) {
            ServiceSpec service = rules.document().getServices(i);
            String path = "services[" + i + "]";
            checkKind(service, path);
            checkNumbers(service, path);
            rules.checkReferences(path + ".models", service.getModelsList(), "models", rules.modelNames());
        }
    }

    private void checkKind(ServiceSpec service, String path) {
        boolean engine = service.getKind() == ServiceKind.ENGINE;
        boolean plain = service.getKind() == ServiceKind.PLAIN;
        if (engine && service.getCallsCount() > 0) {
            rules.add(path + ".calls", Problem.WRONG_KIND, service.getKind().name(), "");
        }
        if (engine && service.getModelsCount() == 0) {
            rules.add(path + ".models", Problem.TOO_FEW, "0", "1");
        }
        if (plain && service.getModelsCount() > 0) {
            rules.add(path + ".models", Problem.WRONG_KIND, service.getKind().name(), "");
        }
        if (plain && service.getCallsCount() == 0) {
            rules.add(path + ".calls", Problem.TOO_FEW, "0", "1");
        }
        if (plain && service.getChecksFencing()) {
            rules.add(
                    path + ".checksFencing",
                    Problem.WRONG_KIND,
                    service.getKind().name(),
                    "");
        }
    }

    private void checkNumbers(ServiceSpec service, String path) {
        long defaultMillis = service.getDefaultDeadlineMillis();
        long maxMillis = service.getMaxDeadlineMillis();
        boolean readable =
                !rules.hasFault(path + ".defaultDeadlineMillis") && !rules.hasFault(path + ".maxDeadlineMillis");
        if (defaultMillis > maxMillis && readable) {
            rules.add(
                    path + ".defaultDeadlineMillis",
                    Problem.DEFAULT_ABOVE_MAXIMUM,
                    Long.toString(defaultMillis),
                    Long.toString(maxMillis));
        }
        int cold = service.getLimits().getCold();
        int most = service.getLimits().getMost();
        boolean limitsReadable = !rules.hasFault(path + ".limits.cold") && !rules.hasFault(path + ".limits.most");
        if (cold > most && limitsReadable) {
            rules.add(path + ".limits.cold", Problem.OUT_OF_RANGE, Integer.toString(cold), "1 to " + most);
        }
    }
}
