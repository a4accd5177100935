package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinwharf.platform.fleet.StoreFault;
import org.whinwharf.platform.fleet.StoreStandIn;
import org.whinwharf.traffic.items.PublishedValue;
import org.whinwharf.traffic.stream.TargetHistory;
import org.whinwharf.traffic.stream.TargetHistory.PublishedVersion;

/** Tests what a front that has just started learns from the store's history. */
class StoreHistoryTest {
    private static final long KEPT_MILLIS = 20_000;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long TIMEOUT_SECONDS = 20;
    private static final String CONFIG_KEY = "op/config";

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final StoreStandIn store = new StoreStandIn("127.0.0.1", 0);
    private Optional<PublishedValue> config = Optional.empty();

    @BeforeEach
    void startStore() {
        store.start();
        writeConfig(store.revision() + 1);
    }

    @AfterEach
    void stop() {
        store.stop();
        loop.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS);
    }

    /** Guards against a version that is overlooked because its last worker has left. */
    @Test
    void versionOfAWorkerThatLeftIsNamed() throws Exception {
        write("a", "v1");
        write("b", "v2");
        store.remove("servers/a");
        TargetHistory history = startReading(false).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(
                history.versions(),
                containsInAnyOrder(new PublishedVersion("s", "v1"), new PublishedVersion("s", "v2")));
        assertThat(history.reachMillis(), is(KEPT_MILLIS));
    }

    /** Guards against a removal that names no version and is taken for nothing. */
    @Test
    void departureOfAnUnknownWorkerLeavesThePastUnknown() throws Exception {
        write("a", "v1");
        store.discardHistory();
        store.remove("servers/a");
        write("b", "v2");
        assertThat(read().reachMillis(), is(0L));
    }

    /** Guards against a history of which only the newest part is read, and against calls without end. */
    @Test
    void historyIsReadUpToItsOldestEvent() throws Exception {
        for (int i = 0; i < 300; i++) {
            store.put("op/x", "before");
        }
        store.discardHistory();
        write("a", "v1");
        for (int i = 0; i < 300; i++) {
            store.put("op/x", "after");
        }
        assertThat(read().versions(), containsInAnyOrder(new PublishedVersion("s", "v1")));
    }

    /** Guards against refusing every stream where nothing has changed for as long as the store remembers. */
    @Test
    void quietStoreHasNoOtherVersions() throws Exception {
        write("a", "v1");
        store.discardHistory();
        TargetHistory history = read();
        assertThat(history.versions(), empty());
        assertThat(history.reachMillis(), is(KEPT_MILLIS));
    }

    /** Guards against a store that has just discarded its history, in which a worker left. */
    @Test
    void discardedRemovalLeavesThePastUnknown() throws Exception {
        write("a", "v1");
        write("b", "v2");
        store.remove("servers/a");
        store.discardHistory();
        assertThat(startReading(false).get(TIMEOUT_SECONDS, TimeUnit.SECONDS).reachMillis(), is(0L));
    }

    /** Guards against a discarded removal that counts as old because an entry was written after it. */
    @Test
    void discardedRemovalBeforeALaterEntryLeavesThePastUnknown() throws Exception {
        write("a", "v1");
        write("b", "v2");
        store.remove("servers/a");
        store.discardHistory();
        write("b", "v2");
        long written = store.revision();
        assertThat(
                readFrom(written, revision -> revision == written)
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .reachMillis(),
                is(0L));
    }

    /** Guards against a discarded removal that counts as old because the entry written after it was discarded too. */
    @Test
    void discardedRemovalBeforeADiscardedEntryLeavesThePastUnknown() throws Exception {
        write("a", "v1");
        write("b", "v2");
        store.remove("servers/a");
        write("b", "v2");
        store.discardHistory();
        long written = store.revision();
        assertThat(
                readFrom(written, revision -> revision == written)
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .reachMillis(),
                is(0L));
    }

    /** Guards against refusing every stream where entries are written again, so that all changes are overwritten. */
    @Test
    void entriesThatWereRepeatedForLongTellThePast() throws Exception {
        write("a", "v1");
        store.discardHistory();
        for (int i = 0; i < KEPT_MILLIS / HEARTBEAT_MILLIS; i++) {
            write("a", "v1");
        }
        long written = store.revision();
        assertThat(
                readFrom(written, revision -> revision == written)
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .reachMillis(),
                is(KEPT_MILLIS));
    }

    /**
     * Guards against a worker that left between the pages of the copy, so that neither the copy nor the history names
     * it.
     */
    @Test
    void removalDuringTheCopyLeavesThePastUnknown() throws Exception {
        write("a", "v1");
        write("b", "v2");
        store.discardHistory();
        long copyRevision = store.revision();
        store.remove("servers/a");
        assertThat(
                readFrom(copyRevision, true)
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .reachMillis(),
                is(0L));
    }

    /** Guards against taking a history that begins after the copy for one that covers the time before it. */
    @Test
    void historyThatBeginsAfterTheCopyLeavesThePastUnknown() throws Exception {
        write("a", "v1");
        write("b", "v2");
        long copyRevision = store.revision();
        store.remove("servers/a");
        store.discardHistory();
        assertThat(
                readFrom(copyRevision, true)
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .reachMillis(),
                is(0L));
    }

    /** Guards against a search that ends with the first refused call, as those of a fleet that starts at once are. */
    @Test
    void refusedCallsAreRepeated() throws Exception {
        write("a", "v1");
        store.remove("servers/a");
        store.begin(StoreFault.BUSY);
        CompletableFuture<TargetHistory> reading = startReading(false);
        store.awaitAnswers(2);
        store.endFaults();
        assertThat(
                reading.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).versions(),
                containsInAnyOrder(new PublishedVersion("s", "v1")));
    }

    /** Guards against a configuration that has replaced one whose routes led to other services. */
    @Test
    void configurationThatWasReplacedLeavesThePastUnknown() throws Exception {
        long created = config.orElseThrow().revision();
        write("a", "v1");
        store.discardHistory();
        writeConfig(created);
        assertThat(read().reachMillis(), is(0L));
    }

    /** Guards against refusing every stream because the configuration was replaced at any time. */
    @Test
    void configurationThatWasReplacedBeforeTheHistoryTellsThePast() throws Exception {
        long created = config.orElseThrow().revision();
        write("a", "v1");
        writeConfig(created);
        store.discardHistory();
        write("b", "v1");
        assertThat(read().reachMillis(), is(KEPT_MILLIS));
    }

    /** Guards against taking a copy without a configuration for one whose configuration has never changed. */
    @Test
    void unknownConfigurationLeavesThePastUnknown() throws Exception {
        write("a", "v1");
        config = Optional.empty();
        assertThat(read().reachMillis(), is(0L));
    }

    private void writeConfig(long createdRevision) {
        store.put(CONFIG_KEY, "{}");
        config = Optional.of(new PublishedValue(CONFIG_KEY, new byte[0], store.revision(), createdRevision));
    }

    private void write(String id, String version) {
        store.put(
                "servers/" + id,
                "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"version\":\"" + version
                        + "\",\"slots\":4,\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1,\"born\":1}");
    }

    private TargetHistory read() throws Exception {
        return startReading(true).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private CompletableFuture<TargetHistory> startReading(boolean lastChangeHeld) {
        return readFrom(store.revision(), lastChangeHeld);
    }

    private CompletableFuture<TargetHistory> readFrom(long copyRevision, boolean changesHeld) {
        return readFrom(copyRevision, revision -> changesHeld);
    }

    private CompletableFuture<TargetHistory> readFrom(long copyRevision, LongPredicate held) {
        CompletableFuture<TargetHistory> read = new CompletableFuture<>();
        StoreClient client = new StoreClient(loop, store.address());
        StoreHistory history =
                new StoreHistory(loop, client, "servers/", KEPT_MILLIS, HEARTBEAT_MILLIS, read::complete);
        loop.execute(() -> history.readBackFrom(copyRevision, held, config));
        return read;
    }
}
