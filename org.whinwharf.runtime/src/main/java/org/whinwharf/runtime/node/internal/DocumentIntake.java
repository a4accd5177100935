package org.whinwharf.runtime.node.internal;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.whinwharf.document.DocumentKeeper;
import org.whinwharf.document.Offer;
import org.whinwharf.document.Source;
import org.whinwharf.runtime.RuntimeText;
import org.whinwharf.runtime.log.EventField;
import org.whinwharf.runtime.log.EventLog;
import org.whinwharf.runtime.log.LogEvent;
import org.whinwharf.runtime.platform.PlatformAnswer;
import org.whinwharf.schema.Fault;

/** Feeds the document keeper and reports what becomes of each document. */
final class DocumentIntake {
    private final DocumentKeeper keeper;
    private final Source platform;
    private OptionalLong heardAtMillis = OptionalLong.empty();
    private String problem = RuntimeText.get("source.not-asked");
    private final Set<String> conflicting = new HashSet<>();
    private List<String> faults = List.of();
    private boolean reachable = true;

    DocumentIntake(String environment, String platformUrl) {
        keeper = new DocumentKeeper(environment);
        platform = Source.platform(platformUrl);
    }

    /**
     * Takes an answer of the configuration service.
     *
     * @param answer the answer
     * @param askedAtMillis monotonic clock when it was asked for
     * @return true when another document is in force now
     */
    boolean answered(PlatformAnswer<byte[]> answer, long askedAtMillis) {
        if (answer instanceof PlatformAnswer.Failed<byte[]> failed) {
            unreachable(failed.reason());
            return false;
        }
        heard(askedAtMillis);
        if (answer instanceof PlatformAnswer.Changed<byte[]> changed) {
            return offer(changed.value(), platform, askedAtMillis);
        }
        return false;
    }

    /**
     * Takes a document from a peer.
     *
     * @param published published form
     * @param peer name of the peer
     * @param nowMillis monotonic clock
     * @return true when another document is in force now
     */
    boolean offered(byte[] published, String peer, long nowMillis) {
        return offer(published, Source.peer(peer), nowMillis);
    }

    /**
     * Takes what a peer says of its document, to notice two documents of one generation.
     *
     * <p>Neither is preferred, since that would take an accepted document back somewhere. Operators see it here and
     * promote a higher generation.
     *
     * @param peer name of the peer
     * @param generation generation in force there
     * @param digestPrefix start of that document's digest; 0 when the peer does not say
     */
    void heardOf(String peer, long generation, long digestPrefix) {
        boolean same = keeper.inForce()
                .filter(view -> view.generation() == generation && view.digestPrefix() != digestPrefix)
                .isEmpty();
        if (same || digestPrefix == 0 || !conflicting.add(peer)) {
            return;
        }
        faults = List.of(RuntimeText.get("document.conflict", generation, peer));
        EventLog.event(LogEvent.DOCUMENT_CONFLICT)
                .with(EventField.GENERATION, generation)
                .with(EventField.PEER, peer)
                .with(EventField.DIGEST, Long.toHexString(digestPrefix))
                .call();
    }

    DocumentKeeper keeper() {
        return keeper;
    }

    OptionalLong heardAtMillis() {
        return heardAtMillis;
    }

    String problem() {
        return problem;
    }

    List<String> faults() {
        return faults;
    }

    private boolean offer(byte[] published, Source source, long nowMillis) {
        Offer offer = keeper.offer(published, source, nowMillis);
        if (offer instanceof Offer.Adopted adopted) {
            faults = List.of();
            conflicting.clear();
            EventLog.event(LogEvent.DOCUMENT_IN_FORCE)
                    .with(EventField.GENERATION, adopted.view().generation())
                    .with(EventField.DIGEST, adopted.view().digest())
                    .with(EventField.SOURCE, source.name())
                    .call();
            return true;
        }
        if (offer instanceof Offer.Invalid invalid) {
            refuse(source, invalid.faults().stream().map(Fault::text).toList());
        } else if (offer instanceof Offer.Conflict conflict) {
            refuse(source, List.of(conflict.toString()));
        }
        return false;
    }

    private void refuse(Source source, List<String> reasons) {
        List<String> told = reasons.stream()
                .map(reason -> RuntimeText.get("document.refused", source.name(), reason))
                .toList();
        if (told.equals(faults)) {
            return;
        }
        faults = told;
        problem = told.get(0);
        EventLog.event(LogEvent.DOCUMENT_REFUSED)
                .with(EventField.SOURCE, source.name())
                .with(EventField.REASONS, reasons)
                .call();
    }

    private void heard(long askedAtMillis) {
        heardAtMillis = OptionalLong.of(askedAtMillis);
        if (!reachable) {
            reachable = true;
            EventLog.event(LogEvent.DOCUMENT_REACHABLE).call();
        }
    }

    private void unreachable(String reason) {
        problem = reason;
        if (reachable) {
            reachable = false;
            EventLog.event(LogEvent.DOCUMENT_UNREACHABLE)
                    .with(EventField.REASON, reason)
                    .call();
        }
    }
}
