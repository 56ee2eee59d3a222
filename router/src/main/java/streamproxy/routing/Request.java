package streamproxy.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import streamproxy.decision.Routing;
import streamproxy.dispatch.ClientDeadline;
import streamproxy.protocol.PassedOn;
import streamproxy.protocol.PromptHeaders;
import streamproxy.records.Event;

/** A client's request that this router has taken and owes one final answer. */
public final class Request {
    private static final int FREE = -1;
    private static final int ANSWERED = -2;

    final PromptHeaders prompt;
    /** As the settings had it when the request's head was read; other settings change nothing here. */
    final Routing.RequestClass clazz;
    final int tenant;
    final Client client;
    final long takenAt;
    final ClientDeadline deadline;
    /**
     * How it ended for its client.
     *
     * @param firstAt when its first event went out; 0 where none did
     * @param events  events with text in them
     * @param retryNs what it was told to wait; negative where nothing
     */
    record End(Event.Final how, long firstAt, long at, long events, long bytes, long retryNs) { }

    private volatile PassedOn passedOn;
    /** Who answers: an attempt's number, or the router itself. Set once: that keeps it to one answer. */
    private final AtomicInteger answerer = new AtomicInteger(FREE);

    // The module's actor alone touches these.
    long number;
    final List<Attempt> attempts = new ArrayList<>(2);
    boolean over;
    int ended; // attempts whose outcome the module has
    Routing.Choice choice; // of the next attempt, or of the final answer
    long reportNs = -1; // the age of the report that this choice went by
    /** Both the client's side and the module's must be done with it before it is a record. */
    private final AtomicInteger sides = new AtomicInteger(2);
    volatile End end; // the client's side alone sets it

    /** One that its client has sent just now. */
    public Request(PromptHeaders prompt, Routing.RequestClass clazz, int tenant, PassedOn passedOn, Client client, long takenAt) {
        this(prompt, clazz, tenant, passedOn, client, takenAt, ClientDeadline.of(takenAt, takenAt, prompt.deadlineNs()));
    }

    /**
     * @param takenAt  when it was read
     * @param deadline until when its client waits
     */
    public Request(PromptHeaders prompt, Routing.RequestClass clazz, int tenant, PassedOn passedOn, Client client, long takenAt,
            ClientDeadline deadline) {
        this.prompt = prompt;
        this.clazz = clazz;
        this.tenant = tenant;
        this.passedOn = passedOn;
        this.client = client;
        this.takenAt = takenAt;
        this.deadline = deadline;
    }

    /** One side is done; true for the second. */
    boolean sideDone() { return sides.decrementAndGet() == 0; }

    PassedOn passedOn() { return passedOn; }

    /** Nothing is sent for it any more: its body need not be kept. */
    void dropBody() { passedOn = null; }

    /** The attempt's stream becomes the answer, unless there is one already. */
    boolean bind(int attempt) { return answerer.compareAndSet(FREE, attempt); }

    /** The router itself answers, unless there is an answer already. */
    boolean answer() { return answerer.compareAndSet(FREE, ANSWERED); }

    boolean answered() { return answerer.get() != FREE; }

    /** The attempt whose stream the client gets; null where there is none. */
    Attempt bound() {
        int who = answerer.get();
        return who >= 0 ? attempts.get(who) : null;
    }
}
