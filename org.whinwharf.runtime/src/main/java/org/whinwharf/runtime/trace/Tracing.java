package org.whinwharf.runtime.trace;

import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.whinwharf.lifecycle.Service;
import org.whinwharf.wire.schema.TraceSettings;

/** Makes spans and hands them to the exporter that the settings name. */
public final class Tracing implements Service {
    private static final String SCOPE = "org.whinwharf";
    private static final String NONE = "none";
    private static final String LOG = "log";
    private static final String OTLP_PATH = "/v1/traces";
    private static final Duration EXPORT_PERIOD = Duration.ofMillis(200);
    private static final int MAX_QUEUED_SPANS = 1_024;
    private static final int MAX_BATCH_SPANS = 128;
    private static final long STOP_MILLIS = 1_000;

    private final SdkTracerProvider provider;

    /**
     * Makes tracing for one process.
     *
     * @param settings exporter and share of traced requests; an empty exporter stands for {@code log}
     * @param process name of the process, such as {@code entry@host}
     */
    public Tracing(TraceSettings settings, String process) {
        SdkTracerProviderBuilder builder = SdkTracerProvider.builder()
                .setResource(Resource.create(
                        Attributes.builder().put("service.name", process).build()))
                .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(settings.getRatio())));
        if (!settings.getExporter().equals(NONE)) {
            builder.addSpanProcessor(BatchSpanProcessor.builder(exporter(settings.getExporter()))
                    .setScheduleDelay(EXPORT_PERIOD)
                    .setMaxQueueSize(MAX_QUEUED_SPANS)
                    .setMaxExportBatchSize(MAX_BATCH_SPANS)
                    .build());
        }
        provider = builder.build();
    }

    @Override
    public void start() {
        // The processor's thread starts with its construction.
    }

    /** Exports what is left, within a second. */
    @Override
    public void stop() {
        provider.shutdown().join(STOP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the maker of spans.
     *
     * @return tracer
     */
    public Tracer tracer() {
        return provider.get(SCOPE);
    }

    private static SpanExporter exporter(String name) {
        if (name.isEmpty() || name.equals(LOG)) {
            return new LogSpanExporter();
        }
        String path = URI.create(name).getPath();
        String endpoint = path.isEmpty() || path.equals("/") ? name.replaceAll("/$", "") + OTLP_PATH : name;
        return OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build();
    }
}
