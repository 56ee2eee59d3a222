package streamproxy.routing;

import org.tinylog.Logger;
import streamproxy.transport.Threads;

/** One thread and its bounded mailbox; all that the actor owns is touched by that thread alone. */
abstract class Actor<M> {
    static final long NEVER = Mailbox.NEVER;

    private final Mailbox<M> mailbox;
    private final String name;
    private volatile boolean stopped;

    Actor(String name, int bound) {
        this.name = name;
        mailbox = new Mailbox<>(bound);
    }

    public final void start() { Threads.start(name, this::run); }

    /** The actor's thread ends after the message it is at. */
    final void stop() { stopped = true; }

    /** Leaves a message without waiting; false where the mailbox is full. */
    final boolean offer(M message) { return mailbox.offer(message); }

    final boolean isEmpty() { return mailbox.isEmpty(); }

    /** Leaves a message, waiting while the mailbox is full. Not for actors, who would wait for each other. */
    final void put(M message) {
        try {
            mailbox.put(message);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes one message; must not wait for any peer. */
    abstract void take(M message);

    /** Called after each message and when {@link #restNs} has passed. */
    abstract void onTime();

    /** How long the actor may wait for its next message. */
    abstract long restNs();

    private void run() {
        while (!stopped) {
            try {
                M message = mailbox.take(restNs());
                if (message != null) {
                    take(message);
                }
                onTime();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                Logger.error(e, "{} goes on after", name); // one bad message must not end the router
            }
        }
    }
}
