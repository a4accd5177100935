package org.whinwharf.document;

/**
 * Where a process heard of a document.
 *
 * @param kind kind of the source
 * @param name URL or host name
 */
public record Source(Kind kind, String name) {
    /** Kinds of sources. */
    public enum Kind {
        /** The platform's configuration service. */
        PLATFORM,
        /** Another process of this system. */
        PEER
    }

    /**
     * Names the configuration service.
     *
     * @param url its base URL
     * @return source
     */
    public static Source platform(String url) {
        return new Source(Kind.PLATFORM, url);
    }

    /**
     * Names another process.
     *
     * @param host its host
     * @return source
     */
    public static Source peer(String host) {
        return new Source(Kind.PEER, host);
    }
}
