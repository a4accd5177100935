package org.whinwharf.runtime.node.internal;

import java.util.List;
import java.util.OptionalLong;
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
