package org.whinwharf.entry.internal;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Callers that wait for an answer of the home, by the handle under which the home knows them. */
final class Sessions {
    private final AtomicLong lastHandle = new AtomicLong();
    private final Map<Long, CallerSession> sessions = new ConcurrentHashMap<>();

    long add(CallerSession session) {
        long handle = lastHandle.incrementAndGet();
        sessions.put(handle, session);
        return handle;
    }

    Optional<CallerSession> find(long handle) {
        return Optional.ofNullable(sessions.get(handle));
    }

    /** Returns a caller that gets no more after this. */
    Optional<CallerSession> remove(long handle) {
        return Optional.ofNullable(sessions.remove(handle));
    }

    int count() {
        return sessions.size();
    }
}
