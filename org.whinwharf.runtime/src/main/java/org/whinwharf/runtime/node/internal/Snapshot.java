package org.whinwharf.runtime.node.internal;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.whinwharf.document.DocumentView;
import org.whinwharf.membership.Membership;

/**
 * What a node knows at one instant.
 *
 * @param document document in force
 * @param published its published form
 * @param membership hosts under that document
 * @param revision revision of the host list; 0 when none was read
 * @param platformHeardAtMillis when the configuration service was last asked successfully
 * @param listHeardAtMillis when the host list was last asked for successfully
 * @param reasons why the node is not ready; empty when it is
 * @param faults what is wrong with a document that was refused, in words
 */
public record Snapshot(
        Optional<DocumentView> document,
        ByteString published,
        Optional<Membership> membership,
        long revision,
        OptionalLong platformHeardAtMillis,
        OptionalLong listHeardAtMillis,
        List<String> reasons,
        List<String> faults) {
    /**
     * Copies the lists.
     *
     * @param document document in force
     * @param published its published form
     * @param membership hosts under that document
     * @param revision revision of the host list; 0 when none was read
     * @param platformHeardAtMillis when the configuration service was last asked successfully
     * @param listHeardAtMillis when the host list was last asked for successfully
     * @param reasons why the node is not ready; empty when it is
     * @param faults what is wrong with a document that was refused, in words
     */
    public Snapshot {
        reasons = List.copyOf(reasons);
        faults = List.copyOf(faults);
    }
}
