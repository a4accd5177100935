package org.whinwharf.standin.internal;

import org.immutables.value.Value;

/** What one engine is like. */
@Value.Immutable
interface EngineSettings {
    /** Streams that run at once; more wait in order of arrival. */
    int slots();

    /** Streams that may wait; more are refused. */
    int maxQueued();

    /** Time between two tokens of a stream while few run. */
    double tokenMillis();

    /** Prompt tokens read a second. */
    double prefillTokensPerSecond();

    /** Streams in flight that an engine bears when it is cold. */
    int coldRequests();

    /** Prompt tokens whose prefixes the cache holds. */
    int cacheTokens();

    /** Age of the load that is reported. */
    long loadLagMillis();

    /** Age of the cache events that are reported. */
    long cacheLagMillis();

    /** Share of the cache events that are lost. */
    double cacheLoss();

    /** How long a finished stream can be resumed. */
    long keepMillis();

    /** Seed of what is random in the engine. */
    long seed();
}
