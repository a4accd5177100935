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
     * The service dropped its history while a target was removed, so the watch missed the removal. The full copy that
     * follows must report the removal; otherwise the target would get requests after its end.
     */
    @Test
    void copyRevealsRemovalsTheWatchMissed() {
        mirror.replace(List.of(item("a", 1), item("b", 2)), 2);
        List<PublishedValue> changed = mirror.replace(List.of(item("a", 1)), 9);
        assertThat(changed, hasSize(1));
        assertThat(changed.get(0).removed(), is(true));
    }

    /** After an outage, the service returns a copy that is older than the changes received from peers. */
    @Test
    void olderCopyChangesNothing() {
        mirror.replace(List.of(item("a", 5)), 9);
        assertThat(mirror.replace(List.of(item("a", 3)), 4), empty());
        assertThat(mirror.apply(List.of(item("a", 4)), 6), empty());
        assertThat(mirror.revision(), is(9L));
    }

    /**
     * Pages of a copy are read one after another, so an item of a later page may be newer than the revision at which
     * the watch starts. The watch then repeats older changes of the item. Applying them would restore a revoked key or
     * remove a target that was published again.
     */
    @Test
    void watchDoesNotRevertAnItemNewerThanItsStart() {
        mirror.replace(List.of(item("a", 10)), 8);
        assertThat(mirror.apply(List.of(item("a", 9)), 9), empty());
        assertThat(mirror.apply(List.of(new PublishedValue("a", null, 9)), 9), empty());
        assertThat(mirror.all().iterator().next().revision(), is(10L));
        assertThat(mirror.apply(List.of(item("a", 11)), 11), hasSize(1));
    }

    /**
     * Guards against a peer that keeps a target for good after its removal: it saw the target come, and this process
     * has seen only its newest state, which is the removal.
     */
    @Test
    void removalOfAnItemThatWasNeverKnownIsPassedOn() {
        mirror.replace(List.of(item("a", 1)), 1);
        assertThat(mirror.apply(List.of(new PublishedValue("b", null, 5)), 5), empty());
        List<PublishedValue> changes = mirror.changesAfter(3).orElseThrow();
        assertThat(changes, hasSize(1));
        assertThat(changes.get(0).removed(), is(true));
    }

    /**
     * Guards against the same after a copy, which tells nothing of what came and went before it: only a full copy does
     * for a peer that is not as far.
     */
    @Test
    void peerWithARevisionBeforeACopyGetsAFullCopy() {
        mirror.replace(List.of(item("a", 1)), 1);
        mirror.replace(List.of(item("a", 1)), 9);
        assertThat(mirror.changesAfter(5).isPresent(), is(false));
        assertThat(mirror.changesAfter(9).isPresent(), is(true));
    }

    /** Guards against a peer that keeps an item which came and went before the copy that this mirror caught up by. */
    @Test
    void peerReceivesRemovalThatTheCopySkipped() {
        ItemMirror peer = new ItemMirror();
        mirror.replace(List.of(item("a", 1)), 1);
        peer.replace(List.of(item("a", 1)), 1);
        peer.apply(List.of(item("b", 2)), 2);
        mirror.replace(List.of(item("a", 1)), 4);
        update(peer);
        assertThat(peer.all(), hasSize(1));
    }

    /** Guards against a peer that keeps an item which was removed between the revision of a copy and its last page. */
    @Test
    void peerReceivesRemovalBetweenPagesOfTheCopy() {
        ItemMirror peer = new ItemMirror();
        mirror.replace(List.of(item("a", 1), item("b", 1)), 1);
        peer.replace(List.of(item("a", 1), item("b", 1)), 1);
        peer.apply(List.of(item("a", 4)), 4);
        mirror.replace(List.of(item("a", 4)), 4);
        mirror.apply(List.of(new PublishedValue("b", null, 5)), 5);
        update(peer);
        assertThat(peer.all(), hasSize(1));
    }

    /** Brings a peer up to the mirror as the answer to its request does. */
    private void update(ItemMirror peer) {
        mirror.changesAfter(peer.revision())
                .ifPresentOrElse(
                        changes -> peer.apply(changes, mirror.revision()),
                        () -> peer.replace(mirror.all(), mirror.revision()));
    }

    /** Guards against sending every version that a peer missed, although it needs only the newest. */
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

    /** Guards against losing a removal because the item's earlier versions are no longer retained. */
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

    /** Guards against reporting a removal although the item was published again. */
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
