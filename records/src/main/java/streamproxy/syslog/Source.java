package streamproxy.syslog;

import java.util.ArrayDeque;
import streamproxy.records.Event;
import streamproxy.records.EventFormatter;

/** Where the records come from that a sending thread sends; for that thread alone. */
interface Source {
    /** The next message of at most so many bytes, without its frame; null where there is none now. */
    byte[] next(int most);

    /** All that were taken so far have gone out. */
    void flushed(long now);

    /** The connection broke: what may not have arrived comes again. */
    void again();

    /** How many are still to be sent, those that may come again left out. */
    long waiting();

    /** How many were handed out for good so far. */
    long sent();

    /** What may come again is given up, and counted as dropped. */
    void giveUp();

    /** Records in memory only: what was handed out since the last flush comes again, and nothing else. */
    final class OfQueue implements Source {
        private record Numbered(Event event, int sequence) { }

        private static final int MOST_SEQUENCE = Integer.MAX_VALUE; // RFC 5424 7.3.1: up to 2147483647, then from 1

        private final RecordQueue queue;
        private final Message message;
        private final ArrayDeque<Numbered> again = new ArrayDeque<>();
        private final ArrayDeque<Numbered> out = new ArrayDeque<>();
        private int sequence;
        private volatile long sent;

        OfQueue(RecordQueue queue, Message message) {
            this.queue = queue;
            this.message = message;
        }

        @Override public byte[] next(int most) {
            Numbered next = again.poll();
            if (next == null) {
                Event event = queue.poll();
                if (event == null) {
                    return null;
                }
                sequence = sequence == MOST_SEQUENCE ? 1 : sequence + 1;
                next = new Numbered(event, sequence);
            }
            out.add(next);
            return message.of(EventFormatter.of(next.event), next.sequence, most);
        }

        @Override public void flushed(long now) {
            sent += out.size();
            out.clear();
        }

        @Override public void again() {
            while (!out.isEmpty()) {
                again.addFirst(out.pollLast());
            }
        }

        @Override public long waiting() { return queue.waiting() + again.size(); }

        @Override public long sent() { return sent; }

        @Override public void giveUp() {
            again();
            for (Numbered given = again.poll(); given != null; given = again.poll()) {
                queue.gaveUp(given.event);
            }
            for (Event event = queue.poll(); event != null; event = queue.poll()) {
                queue.gaveUp(event);
            }
        }
    }
}
