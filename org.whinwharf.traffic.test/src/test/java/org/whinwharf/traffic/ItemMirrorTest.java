package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.items.ItemMirror;
import org.whinwharf.traffic.items.PublishedValue;

class ItemMirrorTest {
    private final ItemMirror mirror = new ItemMirror();

    /**
     * The service's history was dropped while a target left, so the watch missed the removal. The copy that replaces it
     * must show the removal, or the target would get requests after its end.
     */
    @Test
    void copyRevealsRemovalsTheWatchMissed() {
        mirror.replace(List.of(item("a", 1), item("b", 2)), 2);
        List<PublishedValue> changed = mirror.replace(List.of(item("a", 1)), 9);
        assertThat(changed, hasSize(1));
        assertThat(changed.get(0).removed(), is(true));
    }

    /** A process reads the service after an outage and gets an answer that is older than what peers told it. */
    @Test
    void olderCopyChangesNothing() {
        mirror.replace(List.of(item("a", 5)), 9);
        assertThat(mirror.replace(List.of(item("a", 3)), 4), empty());
        assertThat(mirror.apply(List.of(item("a", 4)), 6), empty());
        assertThat(mirror.revision(), is(9L));
    }

    /**
     * Pages of a copy are read one after another, so an item of a later page may be newer than the revision from which
     * the watch goes on. The watch then repeats older changes of it; taking them would bring back a revoked key, or
     * call a target gone that has come back.
     */
    @Test
    void watchDoesNotRevertAnItemNewerThanItsStart() {
        mirror.replace(List.of(item("a", 10)), 8);
        assertThat(mirror.apply(List.of(item("a", 9)), 9), empty());
        assertThat(mirror.apply(List.of(new PublishedValue("a", null, 9)), 9), empty());
        assertThat(mirror.all().iterator().next().revision(), is(10L));
        assertThat(mirror.apply(List.of(item("a", 11)), 11), hasSize(1));
    }

    /** Guards against sending every version that a peer missed, though it needs the newest only. */
    @Test
    void peerThatMissedVersionsGetsTheNewestOnly() {
        mirror.replace(List.of(item("a", 1), item("b", 1)), 1);
        for (int revision = 2; revision <= 9; revision++) {
            mirror.apply(List.of(item("a", revision)), revision);
        }
        List<PublishedValue> changes = mirror.changesAfter(1).orElseThrow();
        assertThat(changes, hasSize(1));
        assertThat(changes.get(0).revision(), is(9L));
    }

    /** Guards against news of a removal that is lost once the item's earlier versions are not kept any more. */
    @Test
    void peerReceivesARemovalAfterManyOtherChanges() {
        mirror.replace(List.of(item("a", 1), item("b", 1)), 1);
        mirror.apply(List.of(new PublishedValue("b", null, 2)), 2);
        for (int revision = 3; revision <= 400; revision++) {
            mirror.apply(List.of(item("a", revision)), revision);
        }
        List<PublishedValue> changes = mirror.changesAfter(1).orElseThrow();
        assertThat(changes, hasSize(2));
        assertThat(changes.stream().filter(PublishedValue::removed).count(), is(1L));
    }

    /** Guards against a removal that is told although the item has come back. */
    @Test
    void recreatedItemIsNotReportedAsRemoved() {
        mirror.replace(List.of(item("a", 1)), 1);
        mirror.apply(List.of(new PublishedValue("a", null, 2)), 2);
        mirror.apply(List.of(item("a", 3)), 3);
        List<PublishedValue> changes = mirror.changesAfter(1).orElseThrow();
        assertThat(changes, hasSize(1));
        assertThat(changes.get(0).removed(), is(false));
    }

    @Test
    void peersGetChangesOrEverything() {
        mirror.replace(List.of(item("a", 1)), 3);
        mirror.apply(List.of(item("b", 4)), 4);
        assertThat(mirror.changesAfter(3).orElseThrow(), hasSize(1));
        assertThat(mirror.changesAfter(1).isPresent(), is(false));
        assertThat(mirror.changesAfter(0).isPresent(), is(false));
    }

    private static PublishedValue item(String key, long revision) {
        return new PublishedValue(key, new byte[1], revision);
    }
}
