package org.whinwharf.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.io.BaseEncoding;
import java.security.SecureRandom;
import java.util.List;
import org.whinwharf.document.Credentials;
import org.whinwharf.pgm.internal.PgmText;
import org.whinwharf.pgm.internal.Report;
import org.whinwharf.pgm.internal.Terminal;

/** Makes a credential for an organisation, and the hash of it that goes into the document. */
@Command(name = "credential", description = "Make a fresh credential and the hash of it for the document")
public final class Credential extends OperatorCommand {
    private static final int SEALING_KEY_BYTES = 32;

    @Option(name = "--sealing-key", description = "Make a key that seals tickets instead")
    private boolean sealingKey;

    @Override
    protected OperatorExit run(Terminal terminal) {
        if (sealingKey) {
            print(terminal, freshKey());
            return OperatorExit.OK;
        }
        String credential = Credentials.fresh(new SecureRandom());
        String hash = BaseEncoding.base64().encode(Credentials.hash(credential));
        print(terminal, new CredentialReport(credential, hash));
        return OperatorExit.OK;
    }

    private static KeyReport freshKey() {
        byte[] key = new byte[SEALING_KEY_BYTES];
        new SecureRandom().nextBytes(key);
        return new KeyReport(BaseEncoding.base64().encode(key));
    }

    private record KeyReport(String key) implements Report {
        @Override
        public List<String> lines() {
            return List.of(PgmText.get("credential.key", key));
        }
    }

    private record CredentialReport(String credential, String sha256128) implements Report {
        @Override
        public List<String> lines() {
            return List.of(PgmText.get("credential.secret", credential), PgmText.get("credential.hash", sha256128));
        }
    }
}
