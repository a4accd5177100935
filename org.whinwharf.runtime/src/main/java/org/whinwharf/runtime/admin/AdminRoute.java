package org.whinwharf.runtime.admin;

import java.util.Optional;

/** Route that one daemon adds to the admin server: {@code GET /v1/NAME/PARAMETER}. Called by several threads. */
public interface AdminRoute {
    /**
     * Returns the name of the route.
     *
     * @return one path segment, such as {@code explain}
     */
    String name();

    /**
     * Answers a request.
     *
     * @param parameter last path segment
     * @return JSON; empty for 404
     */
    Optional<String> answer(String parameter);
}
