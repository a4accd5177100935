package org.whinwharf.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinwharf.wire.schema.EntrySettings;
import org.whinwharf.wire.schema.Host;
import org.whinwharf.wire.schema.TlsSettings;

class EntryTlsTest {
    private static final String PASSWORD = "trial-only";

    // A credential that travels in clear text can be read on the way and used by anybody. With TLS set, the callers'
    // port
    // must speak nothing else.
    @Test
    void callersPortSpeaksOnlyTlsWhenItIsSet(@TempDir Path directory) throws Exception {
        EntryFixture fixture = EntryFixture.shared();
        Path keyStore = keyStore(directory, EntryFixture.THREE.getAddress());
        EntryFixture.awaitPortsOfThree();
        EntryDaemon daemon = new EntryDaemon(settings(directory, keyStore));
        daemon.start();
        try {
            HttpClient client =
                    HttpClient.newBuilder().sslContext(trusting(keyStore)).build();
            EntryFixture.until("ready", () -> addresses(client, "https").contains("ticket"));
            assertThat(addresses(client, "https"), containsString("host-3"));
            assertThat(isAnswered(fixture, "/v1/addresses"), is(false));
        } finally {
            daemon.stop();
        }
    }

    private static boolean isAnswered(EntryFixture fixture, String path) {
        try {
            return fixture.get(EntryFixture.THREE, path).statusCode() == 200;
        } catch (IllegalStateException refused) {
            return false;
        }
    }

    private static String addresses(HttpClient client, String scheme) {
        Host host = EntryFixture.THREE;
        URI uri = URI.create(
                scheme + "://" + host.getAddress() + ":" + host.getEntry().getCaller() + "/v1/addresses");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .header("Authorization", "Bearer " + EntryFixture.CREDENTIAL)
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (java.io.IOException broken) {
            throw new IllegalStateException(broken);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(interrupted);
        }
    }

    private static EntrySettings settings(Path directory, Path keyStore) throws Exception {
        Path password = Files.writeString(directory.resolve("password"), PASSWORD + "\n");
        TlsSettings tls = TlsSettings.newBuilder()
                .setKeyStoreFile(keyStore.toString())
                .setPasswordFile(password.toString())
                .build();
        return EntryFixture.settings(EntryFixture.THREE).toBuilder().setTls(tls).build();
    }

    private static Path keyStore(Path directory, String address) throws Exception {
        Path file = directory.resolve("callers.p12");
        String tool = Path.of(System.getProperty("java.home"), "bin", "keytool").toString();
        Process process = new ProcessBuilder(
                        tool,
                        "-genkeypair",
                        "-alias",
                        "callers",
                        "-keyalg",
                        "EC",
                        "-dname",
                        "CN=whinwharf",
                        "-ext",
                        "san=ip:" + address,
                        "-storetype",
                        "PKCS12",
                        "-keystore",
                        file.toString(),
                        "-storepass",
                        PASSWORD)
                .redirectErrorStream(true)
                .start();
        assertThat(new String(process.getInputStream().readAllBytes()), process.waitFor(), is(0));
        return file;
    }

    private static SSLContext trusting(Path keyStore) throws Exception {
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(keyStore)) {
            keys.load(in, PASSWORD.toCharArray());
        }
        KeyStore trusted = KeyStore.getInstance("PKCS12");
        trusted.load(null, null);
        trusted.setCertificateEntry("callers", keys.getCertificate("callers"));
        TrustManagerFactory factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        factory.init(trusted);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, factory.getTrustManagers(), null);
        return context;
    }
}
