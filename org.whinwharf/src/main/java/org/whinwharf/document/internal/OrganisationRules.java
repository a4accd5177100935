package org.whinwharf.document.internal;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.whinwharf.document.Credentials;
import org.whinwharf.schema.Problem;
import org.whinwharf.wire.schema.Credential;
import org.whinwharf.wire.schema.Organisation;

/** Checks the organisations of a document, their credentials and the tiers that these name. */
final class OrganisationRules {
    private final DocumentRules rules;
    private final Set<String> tierNames;
    private final Set<String> usedTiers = new HashSet<>();
    private final Map<ByteString, Place> credentials = new HashMap<>();

    OrganisationRules(DocumentRules rules) {
        this.rules = rules;
        this.tierNames = rules.tierNames();
    }

    void check() {
        for (int i = 0; i < rules.document().getOrganisationsCount(); i++) {
            Organisation organisation = rules.document().getOrganisations(i);
            for (int j = 0; j < organisation.getCredentialsCount(); j++) {
                checkCredential(organisation.getCredentials(j), new Place(i, j));
            }
        }
        checkTiersHaveCallers();
    }

    private void checkCredential(Credential credential, Place place) {
        usedTiers.add(credential.getTier());
        if (!tierNames.contains(credential.getTier())) {
            rules.checkReference(place.path() + ".tier", credential.getTier(), "tiers", tierNames);
        }
        if (credential.getSha256128().size() != Credentials.HASH_BYTES) {
            rules.checkLength(
                    place.path() + ".sha256128", credential.getSha256128().size(), Credentials.HASH_BYTES);
            return;
        }
        Place first = credentials.putIfAbsent(credential.getSha256128(), place);
        if (first != null) {
            rules.add(place.path() + ".sha256128", Problem.DUPLICATE_CREDENTIAL, first.path(), "");
        }
    }

    private void checkTiersHaveCallers() {
        if (!rules.isReadable("organisations")) {
            return;
        }
        for (int i = 0; i < rules.document().getTiersCount(); i++) {
            String name = rules.document().getTiers(i).getName();
            if (!usedTiers.contains(name)) {
                rules.add("tiers[" + i + "].name", Problem.TIER_WITHOUT_CALLERS, name, "");
            }
        }
    }

    /** Place of a credential; its path is only written out for a fault. */
    private record Place(int organisation, int credential) {
        String path() {
            return "organisations[" + organisation + "].credentials[" + credential + "]";
        }
    }
}
