package org.whinwharf.standin.internal;

/**
 * Faults of the platform; absent members of a {@code POST /faults} stay as they are.
 *
 * @param documentsDown the configuration service answers 503
 * @param hostsDown the host list answers 503
 * @param staleDocument the configuration service answers with the first document that it ever published
 * @param listLagMillis how much later a new host list is seen
 */
record PlatformFaults(boolean documentsDown, boolean hostsDown, boolean staleDocument, long listLagMillis) {
    static final PlatformFaults NONE = new PlatformFaults(false, false, false, 0);
}
