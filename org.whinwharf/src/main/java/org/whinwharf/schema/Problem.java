package org.whinwharf.schema;

import java.util.Locale;
import org.whinwharf.text.Text;

/** Closed list of what can be wrong with a settings file or a document. */
public enum Problem {
    /** The file could not be read at all. */
    UNREADABLE,
    /** The file or document is larger than allowed. */
    TOO_LARGE,
    /** The text is not JSON with comments, or the bytes are not the compact form. */
    SYNTAX,
    /** A field that the schema does not have. */
    UNKNOWN_FIELD,
    /** A field that stands twice in one object. */
    DUPLICATE_FIELD,
    /** A value of another type than the field's. */
    WRONG_TYPE,
    /** A field that must be there is absent or empty. */
    MISSING,
    /** A number outside its bounds. */
    OUT_OF_RANGE,
    /** A string that does not match its pattern. */
    BAD_PATTERN,
    /** A list with fewer entries than allowed. */
    TOO_FEW,
    /** A list with more entries than allowed. */
    TOO_MANY,
    /** Two entries of a list with the same name. */
    NOT_UNIQUE,
    /** A word that is not one of the field's. */
    UNKNOWN_WORD,
    /** Bytes that are not base64. */
    BAD_BASE64,
    /** A name that refers to nothing in the document. */
    DANGLING_REFERENCE,
    /** A tier under which no credential can send. */
    TIER_WITHOUT_CALLERS,
    /** No data centre is in service. */
    ALL_OUT_OF_SERVICE,
    /** Two tiers of the same rank. */
    DUPLICATE_RANK,
    /** A field that this kind of service does not have. */
    WRONG_KIND,
    /** The default deadline is above the longest one. */
    DEFAULT_ABOVE_MAXIMUM,
    /** A key or hash of another length than required. */
    WRONG_LENGTH,
    /** Two organisations, or one twice, with the same credential. */
    DUPLICATE_CREDENTIAL,
    /** The document is of another environment than the process. */
    OTHER_ENVIRONMENT;

    private static final String BUNDLE = "org.whinwharf.schema.Faults";

    /**
     * Returns the name that programs read.
     *
     * @return name in lower case with hyphens, such as {@code unknown-field}
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Describes the problem to people.
     *
     * @param found what was found; empty when it must not be shown
     * @return short text
     */
    public String text(String found) {
        String key = found.isEmpty() ? wireName() : wireName() + ".found";
        return Text.from(BUNDLE, key, found);
    }
}
