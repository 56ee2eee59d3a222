package streamproxy.syslog;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import org.tinylog.Logger;
import streamproxy.records.Event;
import streamproxy.records.EventFormatter;

/**
 * Records from a spool. None is taken as arrived before its connection has gone on for a while behind it, as TCP tells
 * no more: after a break all since then come again, with their old sequence numbers, so that a collector can tell.
 */
final class SpoolSource implements Source {
    /** How long a connection must go on without an error for what was written before to count as arrived. */
    static final long CONFIRM_NS = 2_000_000_000L;
    /** How often the queue is looked into where it was empty. */
    private static final long LOOK_MS = 5;

    private record Written(Spool.Place after, long at) { }

    private final Spool spool;
    private final RecordQueue queue;
    private final Message message;
    private final int most;
    private final ArrayDeque<Written> unconfirmed = new ArrayDeque<>();
    private final Thread writer;
    private Spool.Place at;
    private Spool.Place flushedTo;
    private long out; // handed out since the last flush
    private volatile long sent;
    private volatile boolean over;

    /** @param most the longest message that every collector takes that may get it */
    SpoolSource(Spool spool, RecordQueue queue, Message message, int most) {
        this.spool = spool;
        this.queue = queue;
        this.message = message;
        this.most = most;
        at = spool.place();
        flushedTo = at;
        writer = new Thread(null, this::write, "syslog spool", 256 * 1024);
        writer.setDaemon(true);
        writer.start();
    }

    private void write() {
        boolean failed = false;
        while (true) {
            boolean last = over; // what is offered before it is over gets in
            Event event = queue.poll();
            if (event == null) {
                if (last) {
                    return;
                }
                sleep();
                continue;
            }
            try {
                int number = spool.nextSequence();
                spool.add(number, message.of(EventFormatter.of(event), number, most));
                failed = false;
            } catch (IOException | RuntimeException e) {
                queue.gaveUp(event);
                if (!failed) {
                    Logger.error(e, "the spool of log records cannot be written; records are dropped until it can");
                }
                failed = true;
            }
        }
    }

    private static void sleep() {
        try {
            Thread.sleep(LOOK_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override public byte[] next(int mostNow) {
        try {
            Spool.Entry entry = spool.from(at);
            if (entry == null) {
                return null;
            }
            at = entry.after();
            out++;
            return entry.message();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override public void flushed(long now) {
        if (!at.equals(flushedTo)) {
            unconfirmed.add(new Written(at, now));
            flushedTo = at;
        }
        while (!unconfirmed.isEmpty() && now - unconfirmed.peek().at >= CONFIRM_NS) {
            try {
                spool.arrived(unconfirmed.poll().after);
            } catch (IOException e) {
                Logger.warn(e, "what has arrived cannot be remembered; it may come again");
            }
        }
        sent += out;
        out = 0;
    }

    @Override public void again() {
        unconfirmed.clear();
        out = 0;
        at = spool.place();
        flushedTo = at;
    }

    @Override public long waiting() {
        try {
            return queue.waiting() + spool.waitingFrom(at);
        } catch (IOException e) {
            return queue.waiting();
        }
    }

    @Override public long sent() { return sent; }

    /** Nothing is given up: what has not arrived waits on the disk for the next start. */
    @Override public void giveUp() {
        over = true;
        try {
            writer.join();
            spool.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            Logger.warn(e, "the spool could not be closed");
        }
    }
}
