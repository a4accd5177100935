package org.whinwharf.bench.internal;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * What a load consists of; read from JSON with comments.
 *
 * @param callers who sends
 * @param kinds what they send
 */
public record LoadProfile(List<Caller> callers, List<Kind> kinds) {
    /**
     * Reads a profile.
     *
     * @param file JSON with comments
     * @return the profile
     * @throws IOException when the file cannot be read or has unknown members
     */
    public static LoadProfile read(Path file) throws IOException {
        return JsonMapper.builder()
                .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                .build()
                .readValue(file.toFile(), LoadProfile.class);
    }

    /**
     * One credential of an organisation.
     *
     * @param organisation name of the organisation
     * @param tier name of the tier
     * @param rank rank of the tier
     * @param credential the credential itself
     * @param share how much it sends, relative to the others
     */
    public record Caller(String organisation, String tier, int rank, String credential, double share) {}

    /**
     * One kind of request.
     *
     * @param name name in the summary
     * @param service service asked for
     * @param model model; null for plain services
     * @param call call; null for engines
     * @param idempotent whether it may run more than once
     * @param share how much of it is sent, relative to the other kinds
     * @param promptCharacters length of a prompt
     * @param sharedCharacters length of the part that prompts from one template share
     * @param templates number of templates of each organisation
     * @param maxTokens tokens asked for
     * @param deadlineMillis time for the whole answer
     */
    public record Kind(
            String name,
            String service,
            String model,
            String call,
            boolean idempotent,
            double share,
            int promptCharacters,
            int sharedCharacters,
            int templates,
            int maxTokens,
            long deadlineMillis) {
        boolean plain() {
            return call != null;
        }
    }
}
