package streamproxy.syslog;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.security.cert.Certificate;
import java.security.cert.CertificateException;
import java.security.cert.X509Certificate;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLSocket;

/** An open way to a collector, for one thread; any other may {@link #close} it, which ends a write that waits. */
abstract class Channel implements AutoCloseable {
    private static final int CONNECT_MS = 3_000;
    private static final int BUFFER = 16 * 1024;

    /** Since when a write has been waiting, of {@link System#nanoTime}; 0 while none is. */
    volatile long writingSince;

    /** Opens it; for TLS the handshake and its checks are done. */
    static Channel open(Collector to) throws IOException {
        return to.transport() == Collector.Transport.UDP ? new Datagrams(to) : new Stream(to);
    }

    /** Sends a frame, or keeps it up to the next {@link #flush}. */
    final void send(byte[] frame) throws IOException {
        writingSince = System.nanoTime() | 1;
        try {
            write(frame);
        } finally {
            writingSince = 0;
        }
    }

    final void flush() throws IOException {
        writingSince = System.nanoTime() | 1;
        try {
            writeOut();
        } finally {
            writingSince = 0;
        }
    }

    abstract void write(byte[] frame) throws IOException;

    abstract void writeOut() throws IOException;

    /** Whether the collector has closed it; looks for a millisecond at most. */
    abstract boolean closedByPeer();

    @Override public abstract void close();

    /** RFC 5426. */
    private static final class Datagrams extends Channel {
        private final DatagramSocket socket = new DatagramSocket();

        Datagrams(Collector to) throws IOException {
            InetSocketAddress at = new InetSocketAddress(to.host(), to.port());
            if (at.isUnresolved()) {
                socket.close();
                throw new IOException("no address for " + to.host());
            }
            socket.connect(at);
        }

        @Override void write(byte[] frame) throws IOException {
            try {
                socket.send(new DatagramPacket(frame, frame.length));
            } catch (java.net.PortUnreachableException e) {
                socket.send(new DatagramPacket(frame, frame.length)); // that was about an earlier one
            }
        }

        @Override void writeOut() { }

        @Override boolean closedByPeer() { return false; }

        @Override public void close() { socket.close(); }
    }

    /** RFC 6587 on TCP, RFC 5425 on TLS. */
    private static final class Stream extends Channel {
        private final Socket socket;
        private final Socket plain;
        private final OutputStream out;

        Stream(Collector to) throws IOException {
            plain = new Socket();
            try {
                InetSocketAddress at = new InetSocketAddress(to.host(), to.port());
                if (at.isUnresolved()) {
                    throw new IOException("no address for " + to.host());
                }
                plain.connect(at, CONNECT_MS);
                if (plain.getLocalSocketAddress().equals(plain.getRemoteSocketAddress())) {
                    throw new IOException("nobody listens there"); // TCP opened from both ends: we would talk to ourselves
                }
                plain.setTcpNoDelay(true);
                socket = to.transport() == Collector.Transport.TLS ? secured(to) : plain;
                out = new BufferedOutputStream(socket.getOutputStream(), BUFFER);
            } catch (IOException | RuntimeException e) {
                plain.close();
                throw e;
            }
        }

        private Socket secured(Collector to) throws IOException {
            plain.setSoTimeout(CONNECT_MS);
            SSLSocket secure = (SSLSocket) Keys.context(to.tls()).getSocketFactory().createSocket(plain, to.host(), to.port(), true);
            secure.setEnabledProtocols(new String[] {"TLSv1.3", "TLSv1.2"});
            if (to.tls().checkName()) {
                SSLParameters parameters = secure.getSSLParameters();
                parameters.setEndpointIdentificationAlgorithm("HTTPS"); // RFC 5425 5.2: as RFC 6125 has names checked
                secure.setSSLParameters(parameters);
            }
            secure.startHandshake();
            checkDates(secure.getSession().getPeerCertificates());
            return secure;
        }

        /** The JDK takes a certificate that stands in the store itself whatever its dates. */
        private static void checkDates(Certificate[] shown) throws IOException {
            try {
                for (Certificate certificate : shown) {
                    if (certificate instanceof X509Certificate dated) {
                        dated.checkValidity();
                    }
                }
            } catch (CertificateException e) {
                throw new IOException("its certificate has expired or is not valid yet: " + e.getMessage(), e);
            }
        }

        @Override void write(byte[] frame) throws IOException { out.write(frame); }

        @Override void writeOut() throws IOException { out.flush(); }

        @Override boolean closedByPeer() {
            try {
                socket.setSoTimeout(1);
                return socket.getInputStream().read() < 0; // a collector says nothing
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        }

        /** Closes the plain socket too, as TLS's own close would wait for a write that hangs. */
        @Override public void close() {
            try {
                if (writingSince == 0 && socket != plain) {
                    plain.setSoTimeout(1);
                    socket.close();
                }
            } catch (IOException e) {
                // it is closed all the same
            }
            try {
                plain.close();
            } catch (IOException e) {
                // nothing is left to be done for it
            }
        }
    }
}
