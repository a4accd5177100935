package org.whinwharf.standin.internal;

import io.micronaut.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * Stand-ins of one kind in one process, by the address they listen on.
 *
 * @param byAddress the stand-ins
 * @param <T> kind
 */
record Instances<T>(Map<InetSocketAddress, T> byAddress) {
    T of(HttpRequest<?> request) {
        return byAddress.get(request.getServerAddress());
    }
}
