package streamproxy.syslog;

import java.nio.file.Path;

/**
 * A collector as the operator names it.
 *
 * @param name      the operator's name for it
 * @param mostBytes the longest message that it takes, without its frame; at least {@link Message#LEAST}
 * @param tls       how it is trusted; null for UDP and plain TCP
 */
public record Collector(String name, String host, int port, Transport transport, Framing framing, int mostBytes, Tls tls) {
    /** What carries the messages. */
    public enum Transport { UDP, TCP, TLS }

    /**
     * Stores of certificates and keys (PKCS #12 or JKS); read anew at each connection, and on demand.
     *
     * @param trustStore what the collector's certificate is checked against
     * @param keyStore   our own certificate and key; null where the collector asks for none
     * @param checkName  whether the certificate must name the host
     */
    public record Tls(Path trustStore, Path trustPassword, Path keyStore, Path keyPassword, boolean checkName) { }
}
