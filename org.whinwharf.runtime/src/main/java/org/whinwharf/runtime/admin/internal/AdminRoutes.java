package org.whinwharf.runtime.admin.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.whinwharf.runtime.admin.AdminRoute;
import org.whinwharf.runtime.admin.AdminView;

/** What the controller answers from. */
public final class AdminRoutes {
    private final AdminView view;
    private final Map<String, AdminRoute> routes;

    /**
     * Makes the routes.
     *
     * @param view what to show
     * @param routes routes of the daemon
     */
    public AdminRoutes(AdminView view, List<AdminRoute> routes) {
        this.view = view;
        this.routes = routes.stream().collect(Collectors.toUnmodifiableMap(AdminRoute::name, Function.identity()));
    }

    AdminView view() {
        return view;
    }

    Optional<String> answer(String name, String parameter) {
        return Optional.ofNullable(routes.get(name)).flatMap(route -> route.answer(parameter));
    }
}
