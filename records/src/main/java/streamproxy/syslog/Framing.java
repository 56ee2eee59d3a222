package streamproxy.syslog;

import java.nio.charset.StandardCharsets;

/** How a message is set apart from the next. */
public enum Framing {
    /** One datagram each, RFC 5426. */
    DATAGRAM,
    /** Its length in decimal and a blank ahead, RFC 6587 3.4.1 and RFC 5425 4.3. */
    OCTETS,
    /** A line feed behind it, RFC 6587 3.4.2; no message of ours has one within. */
    NEWLINE;

    /** The bytes that go out for a message. */
    public byte[] frame(byte[] message) {
        if (this == DATAGRAM) {
            return message;
        }
        byte[] ahead = this == OCTETS ? (message.length + " ").getBytes(StandardCharsets.US_ASCII) : new byte[0];
        byte[] frame = new byte[ahead.length + message.length + (this == NEWLINE ? 1 : 0)];
        System.arraycopy(ahead, 0, frame, 0, ahead.length);
        System.arraycopy(message, 0, frame, ahead.length, message.length);
        if (this == NEWLINE) {
            frame[frame.length - 1] = '\n';
        }
        return frame;
    }
}
