package org.whinwharf.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinwharf.traffic.path.PathListener;
import org.whinwharf.traffic.path.TargetPaths;

class TargetPathsTest {
    private final List<String> changes = new ArrayList<>();
    private final TargetPaths paths = new TargetPaths(new RecordingListener());

    @Test
    void lostPathNeedsRelayUntilConnected() {
        paths.lost("one", "peer", 0);
        paths.lost("one", "other peer", 10);
        assertThat(paths.needsRelay("one"), is(true));
        assertThat(paths.needsRelay("two"), is(false));
        paths.connected("one", 20);
        assertThat(paths.needsRelay("one"), is(false));
        assertThat(changes, contains("lost one by peer", "restored one"));
    }

    /** Guards against using each path directly, one timeout after the other, in a process that reaches no target. */
    @Test
    void partitionedProcessNeedsRelayForEveryTarget() {
        paths.partition();
        paths.partition();
        assertThat(paths.needsRelay("never tried"), is(true));
        paths.connected("one", 10);
        assertThat(paths.needsRelay("never tried"), is(false));
        assertThat(changes, contains("partition began", "partition ended"));
    }

    /** Guards against a path that counts as restored because an old connection lives on while new ones are refused. */
    @Test
    void bytesOfOpenConnectionsRestoreNoPath() {
        paths.lost("one", "peer", 0);
        paths.partition();
        paths.bytesReceived(10);
        assertThat(paths.needsRelay("one"), is(true));
        assertThat(paths.partitioned(), is(true));
    }

    /** Guards against blaming a target while nothing else is reached either. */
    @Test
    void reachIsComparedWithTimeOfFailedAttempt() {
        assertThat(paths.reachedAnySince(0), is(false));
        paths.bytesReceived(100);
        assertThat(paths.reachedAnySince(100), is(true));
        assertThat(paths.reachedAnySince(101), is(false));
    }

    /** Guards against connecting to hundreds of lost targets at once, and against never trying some of them again. */
    @Test
    void lostPathsAreRecheckedInTurnAndLessOften() {
        paths.lost("one", "peer", 0);
        paths.lost("two", "peer", 0);
        paths.lost("three", "peer", 0);
        assertThat(paths.dueForRecheck(2, 499), empty());
        assertThat(paths.dueForRecheck(2, 500), contains("one", "two"));
        assertThat(paths.dueForRecheck(2, 500), contains("three"));
        assertThat(paths.dueForRecheck(3, 1_499), empty());
        assertThat(paths.dueForRecheck(3, 1_500), contains("one", "two", "three"));
        assertThat(paths.dueForRecheck(3, 3_499), empty());
        assertThat(paths.dueForRecheck(3, 3_500), contains("one", "two", "three"));
        assertThat(paths.dueForRecheck(3, 5_500), contains("one", "two", "three"));
    }

    @Test
    void forgottenTargetIsNotRechecked() {
        paths.lost("one", "peer", 0);
        paths.forget("one");
        assertThat(paths.dueForRecheck(1, 10_000), empty());
        assertThat(paths.lostPaths(), is(0));
    }

    private final class RecordingListener implements PathListener {
        @Override
        public void pathLost(String targetId, String peer) {
            changes.add("lost " + targetId + " by " + peer);
        }

        @Override
        public void pathRestored(String targetId) {
            changes.add("restored " + targetId);
        }

        @Override
        public void partitionBegan() {
            changes.add("partition began");
        }

        @Override
        public void partitionEnded() {
            changes.add("partition ended");
        }
    }
}
