package streamproxy.syslog.reading;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;

/**
 * Takes messages out of a stream, whatever sets them apart: where one begins with a digit, its length stands ahead
 * (octet counting, RFC 6587 3.4.1); where it begins otherwise, a line feed stands behind it (3.4.2).
 */
public final class Frames {
    private static final int MOST = 1 << 20;

    private final InputStream in;
    private long line = 1;
    private long frameLine = 1;

    public Frames(InputStream in) { this.in = new BufferedInputStream(in); }

    /** The next message without its frame; null at the end. A frame that cannot be read is {@link Malformed}, the next may be. */
    public byte[] next() throws IOException, Malformed {
        int c = in.read();
        while (c == '\n' || c == '\r') { // between two frames
            line += c == '\n' ? 1 : 0;
            c = in.read();
        }
        frameLine = line;
        if (c < 0) {
            return null;
        }
        return c >= '0' && c <= '9' ? counted(c) : lined(c);
    }

    /** The line, from 1, on which the last message begins, or what was refused. */
    public long line() { return frameLine; }

    private byte[] counted(int first) throws IOException, Malformed {
        int length = first - '0';
        int column = 1;
        int c = in.read();
        while (c >= '0' && c <= '9' && length <= MOST) {
            length = 10 * length + c - '0';
            column++;
            c = in.read();
        }
        if (c != ' ' || length > MOST || first == '0') {
            lined(c); // to the end of the line: from there on it may go well again
            throw new Malformed(column + 1, "no length of a frame");
        }
        byte[] message = in.readNBytes(length);
        for (byte b : message) {
            line += b == '\n' ? 1 : 0;
        }
        if (message.length < length) {
            throw new Malformed(column + 1 + message.length, "ends within a frame of " + length + " bytes");
        }
        return message;
    }

    private byte[] lined(int first) throws IOException, Malformed {
        ByteArrayOutputStream message = new ByteArrayOutputStream(512);
        int c = first;
        while (c >= 0 && c != '\n') {
            if (message.size() == MOST) {
                throw new EOFException("a line of more than " + MOST + " bytes");
            }
            message.write(c);
            c = in.read();
        }
        line += c == '\n' ? 1 : 0;
        return message.toByteArray();
    }
}
