package org.whinwharf.traffic.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.stream.StreamOrigins;

/** Verifies what is known of the process at the other end of a connection to a target. */
class TargetProcessesTest {
    private static final long HEARTBEAT_MILLIS = 1_000;
    private static final long UNKNOWN = Long.MIN_VALUE;

    private final TargetProcesses processes = new TargetProcesses(0, service -> false);

    private static Target target(long startedUnixMillis, String version) {
        return target(startedUnixMillis, version, false);
    }

    private static Target target(long startedUnixMillis, String version, boolean draining) {
        return ImmutableTarget.builder()
                .id("t")
                .service("s")
                .ip("127.0.0.1")
                .port(1)
                .dataCentre("d")
                .slots(1)
                .draining(draining)
                .coldRemainingMillis(0)
                .startedUnixMillis(startedUnixMillis)
                .version(version)
                .build();
    }

    private ProcessKnowledge knowledge(long startedUnixMillis, long establishedAtMillis) {
        return processes.knowledge("t", "s", startedUnixMillis, establishedAtMillis, 100);
    }

    /** Guards against taking an entry for a proof of what answers long after it was written. */
    @Test
    void entryAloneConfirmsNothing() {
        processes.published(target(7, "v1"), UNKNOWN, 10);
        assertThat(knowledge(7, 20), is(ProcessKnowledge.PRESUMED));
    }

    @Test
    void reportConfirmsConnectionsThatWereEstablishedBeforeIt() {
        processes.published(target(7, "v1"), UNKNOWN, 10);
        processes.stated(target(7, "v1"), 7, 30);
        assertThat("before it", knowledge(7, 20), is(ProcessKnowledge.CONFIRMED));
        assertThat("after it", knowledge(7, 40), is(ProcessKnowledge.UNCONFIRMED));
        assertThat("before the entry", knowledge(7, 5), is(ProcessKnowledge.UNCONFIRMED));
    }

    /** Guards against a connection to the successor of a process that counts as one to that process. */
    @Test
    void reportOfAnotherProcessLeavesConnectionsUnconfirmed() {
        processes.published(target(7, "v1"), UNKNOWN, 10);
        processes.stated(target(7, "v1"), 8, 30);
        assertThat(knowledge(7, 20), is(ProcessKnowledge.REPLACED));
    }

    @Test
    void entryThatIsWrittenAgainConfirmsConnectionsThatWereEstablishedBeforeThat() {
        processes.published(target(7, "v1"), UNKNOWN, 10);
        processes.published(target(7, "v1"), 30, 50);
        assertThat("before it", knowledge(7, 20), is(ProcessKnowledge.CONFIRMED));
        assertThat("after it may have been written", knowledge(7, 40), is(ProcessKnowledge.UNCONFIRMED));
    }

    /** Guards against an entry that was read late and counts as written when it was read. */
    @Test
    void entryThatMayHaveBeenWrittenBeforeConfirmsNothing() {
        processes.published(target(7, "v1"), UNKNOWN, 10);
        processes.published(target(7, "v1"), UNKNOWN, 50);
        assertThat(knowledge(7, 20), is(ProcessKnowledge.PRESUMED));
    }

    /** Guards against an origin that keeps its version though the target had restarted, by whatever clock. */
    @Test
    void laterProcessLeavesOnlyTheUnconfirmedOpen() {
        processes.published(target(7, "v1"), UNKNOWN, 10);
        processes.stated(target(7, "v1"), 7, 30);
        processes.published(target(6, "v2"), UNKNOWN, 60);
        assertThat("confirmed before", knowledge(7, 20), is(ProcessKnowledge.CONFIRMED));
        assertThat("established after the last sign", knowledge(7, 40), is(ProcessKnowledge.REPLACED));
    }

    /** Guards against forgetting, with an entry that lapsed, what began streams that callers still follow. */
    @Test
    void processesAreKeptForAsLongAsCallersFollowTheirStreams() {
        processes.published(target(7, "v1"), UNKNOWN, 10);
        processes.stated(target(7, "v1"), 7, 30);
        processes.sweep(Set.of(), 10 + StreamOrigins.RETENTION_MILLIS);
        assertThat("just gone", knowledge(7, 20), is(ProcessKnowledge.CONFIRMED));
        processes.sweep(Set.of(), 11 + StreamOrigins.RETENTION_MILLIS);
        assertThat("long gone", processes.latest("t").isEmpty(), is(true));
    }

    @Test
    void processesThatEndedLongAgoAreForgotten() {
        processes.published(target(7, "v1"), UNKNOWN, 10);
        processes.stated(target(7, "v1"), 7, 30);
        processes.published(target(8, "v2"), UNKNOWN, 60);
        processes.sweep(Set.of("t"), 60 + StreamOrigins.RETENTION_MILLIS);
        assertThat("kept", knowledge(7, 20), is(ProcessKnowledge.CONFIRMED));
        processes.sweep(Set.of("t"), 61 + StreamOrigins.RETENTION_MILLIS);
        assertThat("forgotten", knowledge(7, 20), is(ProcessKnowledge.REPLACED));
    }

    /** Guards against presuming a process before it can be known whether targets repeat their entries. */
    @Test
    void processIsNotPresumedBeforeEntriesMayHaveBeenRepeated() {
        TargetProcesses withHeartbeat = new TargetProcesses(HEARTBEAT_MILLIS, service -> false);
        withHeartbeat.published(target(7, "v1"), UNKNOWN, 0);
        assertThat(withHeartbeat.knowledge("t", "s", 7, 20, 3 * HEARTBEAT_MILLIS), is(ProcessKnowledge.UNCONFIRMED));
        assertThat(withHeartbeat.knowledge("t", "s", 7, 20, 3 * HEARTBEAT_MILLIS + 1), is(ProcessKnowledge.PRESUMED));
    }

    /** Guards against presuming the process of a target that has not been asked for its report. */
    @Test
    void processIsNotPresumedWhereAReportMayShowIt() {
        TargetProcesses ofEngines = new TargetProcesses(0, service -> true);
        ofEngines.published(target(7, "v1"), UNKNOWN, 0);
        assertThat("not asked", ofEngines.knowledge("t", "s", 7, 20, 30), is(ProcessKnowledge.UNCONFIRMED));
        ofEngines.reportUnreadable("s", 30);
        assertThat("asked in vain", ofEngines.knowledge("t", "s", 7, 20, 30), is(ProcessKnowledge.PRESUMED));
        ofEngines.stated(target(7, "v1"), 7, 10);
        assertThat("reported since", ofEngines.knowledge("t", "s", 7, 20, 30), is(ProcessKnowledge.UNCONFIRMED));
    }

    /** Guards against presuming that a process which was found to be gone is back. */
    @Test
    void processThatWasLostIsNotPresumedOverLaterConnections() {
        processes.published(target(7, "v1"), UNKNOWN, 10);
        processes.lost("t", 30);
        assertThat("before", knowledge(7, 20), is(ProcessKnowledge.PRESUMED));
        assertThat("after", knowledge(7, 40), is(ProcessKnowledge.UNCONFIRMED));
        processes.published(target(8, "v1"), UNKNOWN, 50);
        assertThat("of the next process", knowledge(8, 60), is(ProcessKnowledge.PRESUMED));
    }

    @Test
    void targetWithoutAStatedStartIsPresumed() {
        TargetProcesses withHeartbeat = new TargetProcesses(HEARTBEAT_MILLIS, service -> false);
        withHeartbeat.published(target(0, "v1"), UNKNOWN, 0);
        assertThat(withHeartbeat.knowledge("t", "s", 0, 20, 30), is(ProcessKnowledge.PRESUMED));
    }

    /** Guards against waiting for entries that are never written again, since one has changed as its target leaves. */
    @Test
    void entryThatChangesDoesNotShowThatOthersAreRepeated() {
        processes.published(target(7, "v1"), UNKNOWN, 10);
        processes.published(target(7, "v1", true), 30, 50);
        assertThat("the leaving target was there", knowledge(7, 20), is(ProcessKnowledge.CONFIRMED));
        assertThat("entries are repeated", processes.mayRepeatEntries("s", 100), is(false));
    }
}
