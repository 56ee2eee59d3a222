package streamproxy.syslog;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import javax.net.ssl.KeyManager;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/** Certificates and keys as they are on the disk now. */
public final class Keys {
    private Keys() { }

    /** What a connection is made with; fails with the file at fault. */
    public static SSLContext context(Collector.Tls tls) throws IOException {
        try {
            TrustManagerFactory trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
            trust.init(store(tls.trustStore(), tls.trustPassword()));
            KeyManager[] own = null;
            if (tls.keyStore() != null) {
                KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
                keys.init(store(tls.keyStore(), tls.keyPassword()), password(tls.keyPassword()));
                own = keys.getKeyManagers();
            }
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(own, trust.getTrustManagers(), null);
            return context;
        } catch (GeneralSecurityException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static KeyStore store(Path file, Path password) throws IOException {
        try {
            return KeyStore.getInstance(file.toFile(), password(password));
        } catch (GeneralSecurityException | IOException | IllegalArgumentException e) {
            throw new IOException(file + " cannot be read as a store of certificates: " + e.getMessage(), e);
        }
    }

    private static char[] password(Path file) throws IOException {
        return file == null ? new char[0] : Files.readString(file).strip().toCharArray();
    }
}
