package org.whinwharf.bench.history;

import com.google.protobuf.util.JsonFormat;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.HostList;

/** Asks the targets of a host list for their records. */
final class TargetRecords {
    private final List<String> unread = new ArrayList<>();

    List<TargetHistory> fetch(String hostsFileOrUrl) throws IOException {
        List<TargetHistory> records = new ArrayList<>();
        try (HttpClient client = HttpClient.create(null)) {
            for (Host host : hosts(client, hostsFileOrUrl).getHostsList()) {
                if (host.hasTarget()) {
                    read(client, host, records);
                }
            }
        }
        return records;
    }

    /** Returns the targets that did not answer; what they ran is not known. */
    List<String> unread() {
        return unread;
    }

    private void read(HttpClient client, Host host, List<TargetHistory> records) throws IOException {
        String url = "http://" + host.getAddress() + ":" + host.getTarget().getPort() + "/v1/record";
        try {
            String json = client.toBlocking().retrieve(url);
            records.add(HistoryFiles.target(host.getName(), host.getDataCentre(), json));
        } catch (HttpClientException e) {
            unread.add(host.getName() + ": " + e.getMessage());
        }
    }

    private static HostList hosts(HttpClient client, String fileOrUrl) throws IOException {
        String json = fileOrUrl.startsWith("http:")
                ? client.toBlocking().retrieve(fileOrUrl)
                : Files.readString(Path.of(fileOrUrl));
        HostList.Builder hosts = HostList.newBuilder();
        JsonFormat.parser().ignoringUnknownFields().merge(json, hosts);
        return hosts.build();
    }
}
