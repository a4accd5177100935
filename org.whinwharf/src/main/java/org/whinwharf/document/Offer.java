package org.whinwharf.document;

import java.util.List;
import org.whinwharf.schema.Fault;

/** What became of a document that was offered to a {@link DocumentKeeper}. */
public sealed interface Offer {
    /**
     * The document is in force now.
     *
     * @param view the document
     */
    record Adopted(DocumentView view) implements Offer {}

    /**
     * The document was in force already.
     *
     * @param generation its generation
     */
    record Unchanged(long generation) implements Offer {}

    /**
     * The document is older than the one in force, which stays.
     *
     * @param offered generation that was offered
     * @param inForce generation in force
     */
    record Older(long offered, long inForce) implements Offer {}

    /**
     * The document has the generation of the one in force but says something else; the one in force stays.
     *
     * @param generation the generation of both
     * @param digestInForce digest of the one in force
     * @param digestOffered digest of the other
     */
    record Conflict(long generation, String digestInForce, String digestOffered) implements Offer {}

    /**
     * The document has faults; nothing changes.
     *
     * @param faults all of them
     */
    record Invalid(List<Fault> faults) implements Offer {
        /**
         * Copies the list.
         *
         * @param faults all faults
         */
        public Invalid {
            faults = List.copyOf(faults);
        }
    }
}
