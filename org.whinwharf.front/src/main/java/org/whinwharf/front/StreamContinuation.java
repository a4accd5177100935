package org.whinwharf.front;

import java.util.Optional;
import java.util.Set;
import org.whinwharf.traffic.stream.ImmutableStreamOrigin;
import org.whinwharf.traffic.stream.OriginProcess;
import org.whinwharf.traffic.stream.StreamKey;
import org.whinwharf.traffic.stream.StreamOrigin;
import org.whinwharf.traffic.stream.StreamOrigins;
import org.whinwharf.traffic.target.ProcessKnowledge;
import org.whinwharf.traffic.target.Target;

/**
 * The service and software version at which one request's stream must continue.
 *
 * <p>Before the first event reaches the caller, any version will do. From then on, only targets of the version that
 * sent it are suitable, whichever process, attempt or run goes on with the stream.
 */
final class StreamContinuation {
    /** Interval at which the origin of a stream under way is recorded anew, so that it does not expire meanwhile. */
    private static final long REFRESH_INTERVAL_MILLIS = StreamOrigins.RETENTION_MILLIS / 3;

    private final Front front;
    private Optional<StreamOrigin> origin = Optional.empty();

    StreamContinuation(Front front) {
        this.front = front;
    }

    /**
     * Records that a target sends the first event of a new stream; tells the processes that remember the stream.
     *
     * @param knowledge what is known of the process that sends it
     */
    void began(StreamKey key, TargetRun run, ProcessKnowledge knowledge) {
        Target target = run.target();
        OriginProcess process = new OriginProcess(target.id(), target.startedUnixMillis(), run.connectedAtMillis());
        record(ImmutableStreamOrigin.builder()
                .key(key)
                .service(target.service())
                .version(target.version())
                .unconfirmedProcess(knowledge == ProcessKnowledge.CONFIRMED ? Optional.empty() : Optional.of(process))
                .recordedAtMillis(front.nowMillis())
                .build());
        if (knowledge == ProcessKnowledge.UNCONFIRMED && front.processInquiry().possible(run.entry())) {
            front.processInquiry().ask(run.entry(), () -> front.streams().confirm(key));
        }
    }

    /** Records that the request resumes a stream of known origin. */
    void resumes(StreamOrigin known) {
        origin = Optional.of(known);
    }

    /** Records that an event of a stream that has begun reaches the caller, who may resume the stream once more. */
    void continued() {
        origin.flatMap(known -> front.streams().recorded(known.key()))
                .or(() -> origin)
                .ifPresent(
                        known -> record(ImmutableStreamOrigin.copyOf(known).withRecordedAtMillis(front.nowMillis())));
    }

    /** Records the origin of a long stream anew from time to time. */
    void refresh(long nowMillis) {
        if (origin.isPresent() && nowMillis - origin.get().recordedAtMillis() > REFRESH_INTERVAL_MILLIS) {
            continued();
        }
    }

    private void record(StreamOrigin next) {
        origin = Optional.of(next);
        front.streams().record(next);
    }

    /** Returns the origin, by what is known by now of the process that began the stream. */
    private Optional<StreamOrigin> current() {
        return origin.flatMap(known -> front.streams().known(known.key())).or(() -> origin);
    }

    /** Tells what is known of the process that began the stream. */
    ProcessKnowledge knowledge() {
        return current().map(front.streams()::knowledgeOf).orElse(ProcessKnowledge.CONFIRMED);
    }

    /** Returns the published process of the target that began the stream, while it is not known whether it did. */
    Optional<OriginProcess> openProcess() {
        return current().flatMap(StreamOrigin::unconfirmedProcess);
    }

    /** Tells whether the stream has begun, so that only some targets are suitable. */
    boolean isBound() {
        return origin.isPresent();
    }

    /** Returns the version at which the stream must continue; empty if any target is suitable. */
    Optional<String> requiredVersion() {
        return current().map(StreamOrigin::version);
    }

    /** Tells whether a target is suitable. */
    boolean accepts(Target target) {
        return current()
                .map(known -> known.service().equals(target.service())
                        && known.version().equals(target.version()))
                .orElse(true);
    }

    /** Tells whether any suitable target is left, outside of the given sets, that may get requests sooner or later. */
    boolean isPossible(Set<String> triedTargetIds, Set<String> pathlessTargetIds) {
        return current()
                .map(known -> known.versionKnown()
                        && front.hasTarget(known.service(), known.version(), triedTargetIds, pathlessTargetIds))
                .orElse(true);
    }
}
