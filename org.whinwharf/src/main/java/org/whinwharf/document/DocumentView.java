package org.whinwharf.document;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.whinwharf.document.internal.CallerTable;
import org.whinwharf.wire.schema.DataCentre;
import org.whinwharf.wire.schema.Deployment;
import org.whinwharf.wire.schema.Document;
import org.whinwharf.wire.schema.Model;
import org.whinwharf.wire.schema.RetryBudget;
import org.whinwharf.wire.schema.SealingKey;
import org.whinwharf.wire.schema.ServiceSpec;
import org.whinwharf.wire.schema.Tier;
import org.whinwharf.wire.schema.Timing;

/** A valid document, indexed for the decisions. Immutable and small, whatever the number of organisations. */
public final class DocumentView {
    private final long generation;
    private final String environment;
    private final HashCode digest;
    private final ImmutableMap<String, DataCentre> dataCentres;
    private final ImmutableList<Tier> tiers;
    private final ImmutableMap<String, Model> models;
    private final ImmutableMap<String, ServiceSpec> services;
    private final ImmutableListMultimap<String, Deployment> deployments;
    private final ImmutableList<SealingKey> sealingKeys;
    private final RetryBudget retryBudget;
    private final Timing timing;
    private final CallerTable callers;

    private DocumentView(Document document, byte[] published) {
        generation = document.getGeneration();
        environment = document.getEnvironment();
        digest = Hashing.sha256().hashBytes(published);
        dataCentres = Maps.uniqueIndex(document.getDataCentresList(), DataCentre::getName);
        tiers = ImmutableList.sortedCopyOf(
                Comparator.comparingInt(Tier::getRank).reversed(), document.getTiersList());
        models = Maps.uniqueIndex(document.getModelsList(), Model::getName);
        services = Maps.uniqueIndex(document.getServicesList(), ServiceSpec::getName);
        deployments = document.getDeploymentsList().stream()
                .collect(ImmutableListMultimap.toImmutableListMultimap(Deployment::getService, each -> each));
        sealingKeys = ImmutableList.copyOf(document.getSealingKeysList());
        retryBudget = document.getRetryBudget();
        timing = document.getTiming();
        Map<String, Integer> rankByTier =
                document.getTiersList().stream().collect(Collectors.toMap(Tier::getName, Tier::getRank));
        callers = CallerTable.of(document.getOrganisationsList(), rankByTier);
    }

    /**
     * Indexes a valid document.
     *
     * @param document document that {@link DocumentReader} found valid
     * @param published bytes that it was read from
     * @return view
     */
    public static DocumentView of(Document document, byte[] published) {
        return new DocumentView(document, published);
    }

    /**
     * Returns the generation.
     *
     * @return number that grows with each promotion
     */
    public long generation() {
        return generation;
    }

    /**
     * Returns the environment.
     *
     * @return name such as {@code trial}
     */
    public String environment() {
        return environment;
    }

    /**
     * Returns the digest of the published bytes.
     *
     * @return SHA-256 in 64 hexadecimal digits
     */
    public String digest() {
        return digest.toString();
    }

    /**
     * Returns the start of the digest, as heartbeats carry it.
     *
     * @return first 8 bytes of the digest
     */
    public long digestPrefix() {
        return digest.asLong();
    }

    /**
     * Returns the data centres.
     *
     * @return data centres in the order of the document
     */
    public ImmutableList<DataCentre> dataCentres() {
        return dataCentres.values().asList();
    }

    /**
     * Finds a data centre.
     *
     * @param name its name
     * @return data centre, if the document has it
     */
    public Optional<DataCentre> dataCentre(String name) {
        return Optional.ofNullable(dataCentres.get(name));
    }

    /**
     * Tells whether a data centre may receive new work.
     *
     * @param dataCentre its name
     * @return false when it is out or not in the document
     */
    public boolean isInService(String dataCentre) {
        DataCentre found = dataCentres.get(dataCentre);
        return found != null && found.getInService();
    }

    /**
     * Returns the tiers.
     *
     * @return tiers, highest rank first
     */
    public ImmutableList<Tier> tiers() {
        return tiers;
    }

    /**
     * Finds a tier.
     *
     * @param rank its rank
     * @return tier, if the document has one of this rank
     */
    public Optional<Tier> tier(int rank) {
        return tiers.stream().filter(tier -> tier.getRank() == rank).findFirst();
    }

    /**
     * Finds a model.
     *
     * @param name its name
     * @return model, if the document has it
     */
    public Optional<Model> model(String name) {
        return Optional.ofNullable(models.get(name));
    }

    /**
     * Returns the services.
     *
     * @return services in the order of the document
     */
    public ImmutableList<ServiceSpec> services() {
        return services.values().asList();
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return service, if the document has it
     */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns what the engines of a service are to be brought to.
     *
     * @param service name of the service
     * @return deployments in the order of the document; empty when there is none
     */
    public ImmutableList<Deployment> deployments(String service) {
        return deployments.get(service);
    }

    /**
     * Returns the keys that seal tickets and receipts.
     *
     * @return keys; the first one seals, all of them open
     */
    public ImmutableList<SealingKey> sealingKeys() {
        return sealingKeys;
    }

    /**
     * Returns the retry budget.
     *
     * @return budget with fallbacks in place
     */
    public RetryBudget retryBudget() {
        return retryBudget;
    }

    /**
     * Returns the times that the decisions use.
     *
     * @return times with fallbacks in place
     */
    public Timing timing() {
        return timing;
    }

    /**
     * Finds who sends under a credential, in a time that does not depend on how much of it is right.
     *
     * @param credentialHash hash as {@link Credentials#hash} makes it
     * @return caller, if the document has the credential
     */
    public Optional<Caller> caller(byte[] credentialHash) {
        int entry = callers.find(credentialHash);
        if (entry < 0) {
            return Optional.empty();
        }
        return tier(callers.rank(entry))
                .map(tier -> new Caller(callers.organisation(entry), callers.weight(entry), tier));
    }

    /**
     * Returns the number of organisations.
     *
     * @return number
     */
    public int organisations() {
        return callers.organisations();
    }
}
