package org.whinwharf.runtime.command;

/** Version of the programs, from the manifest of their archive. */
public final class ProgramVersion {
    private static final String UNPACKED = "unpackaged";

    private ProgramVersion() {}

    /**
     * Returns the version.
     *
     * @return version; {@code unpackaged} when the classes do not come from an archive
     */
    public static String get() {
        String version = ProgramVersion.class.getPackage().getImplementationVersion();
        return version == null ? UNPACKED : version;
    }
}
