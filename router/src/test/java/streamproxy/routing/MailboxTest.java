package streamproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.jdi.Bootstrap;
import com.sun.jdi.LongValue;
import com.sun.jdi.ReferenceType;
import com.sun.jdi.VirtualMachine;
import com.sun.jdi.connect.Connector;
import com.sun.jdi.connect.LaunchingConnector;
import com.sun.jdi.event.Event;
import com.sun.jdi.event.EventSet;
import com.sun.jdi.event.LocatableEvent;
import com.sun.jdi.event.MethodEntryEvent;
import com.sun.jdi.event.VMStartEvent;
import com.sun.jdi.request.EventRequest;
import com.sun.jdi.request.MethodEntryRequest;
import com.sun.jdi.request.StepRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class MailboxTest {
    private static final long MS = 1_000_000L;

    @Test void whatIsLeftIsTakenInOrderAndWhatFindsNoRoomIsCounted() throws Exception {
        Mailbox<Integer> box = new Mailbox<>(2);
        assertTrue(box.offer(1));
        assertTrue(box.offer(2));
        assertFalse(box.offer(3));
        assertEquals(1, box.turnedAway());
        assertEquals(1, box.take(Mailbox.NEVER));
        assertTrue(box.offer(4));
        assertEquals(2, box.take(0));
        assertEquals(4, box.take(MS));
        assertNull(box.take(0));
        assertNull(box.take(MS), "a rest ends");
        assertTrue(box.isEmpty());
    }

    /** Every message of many writers comes once, those of one writer in its order, though the mailbox is mostly full. */
    @Test @Timeout(60) void writersWaitForRoomAndNothingIsLost() throws Exception {
        int writers = 8;
        int each = 5_000;
        Mailbox<int[]> box = new Mailbox<>(16);
        List<Thread> threads = new ArrayList<>();
        for (int w = 0; w < writers; w++) {
            int me = w;
            threads.add(new Thread(() -> {
                try {
                    for (int i = 0; i < each; i++) {
                        box.put(new int[] {me, i});
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
        threads.forEach(Thread::start);
        int[] next = new int[writers];
        for (int taken = 0; taken < writers * each;) {
            int[] message = box.take(Mailbox.NEVER);
            if (message != null) {
                assertEquals(next[message[0]]++, message[1]);
                taken++;
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertTrue(box.isEmpty());
    }

    /** The process of the next test: its reader rests for a millisecond again and again, its writer leaves one message. */
    static final class TwoThreads {
        static volatile long turns;

        private TwoThreads() { }

        public static void main(String[] none) throws Exception {
            Mailbox<String> box = new Mailbox<>(4);
            Thread reader = new Thread(() -> {
                try {
                    while (box.take(MS) == null) {
                        turns++;
                    }
                    while (true) {
                        box.take(MS);
                        turns++;
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            reader.setDaemon(true);
            reader.start();
            while (turns < 10) {
                Thread.sleep(1);
            }
            box.offer("message");
        }
    }

    /**
     * A writer that is stopped at any instruction keeps nobody. With a queue of locks and conditions the reader's timed
     * wait turns without end, or waits for the lock, while the writer is within them.
     */
    @Test @Timeout(120) void aWriterStoppedAtAnyInstructionDoesNotKeepTheReader() throws Exception {
        LaunchingConnector launch = Bootstrap.virtualMachineManager().defaultConnector();
        Map<String, Connector.Argument> how = launch.defaultArguments();
        how.get("main").setValue(TwoThreads.class.getName());
        how.get("options").setValue("-Xint -cp \"" + System.getProperty("java.class.path") + "\"");
        VirtualMachine vm = launch.launch(how);
        int stops = 0;
        try {
            MethodEntryRequest entry = vm.eventRequestManager().createMethodEntryRequest();
            entry.addClassFilter(Mailbox.class.getName());
            entry.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
            for (boolean done = false; !done;) {
                EventSet events = vm.eventQueue().remove();
                for (Event event : events) {
                    if (event instanceof VMStartEvent e) {
                        entry.addThreadFilter(e.thread()); // it is the writer's
                        entry.enable();
                    } else if (event instanceof MethodEntryEvent e && e.method().name().equals("offer")) {
                        entry.disable();
                        StepRequest step = vm.eventRequestManager().createStepRequest(e.thread(), StepRequest.STEP_MIN, StepRequest.STEP_INTO);
                        step.setSuspendPolicy(EventRequest.SUSPEND_EVENT_THREAD);
                        step.enable();
                    } else if (event instanceof LocatableEvent e && !entry.isEnabled()) {
                        done = e.location().declaringType().name().equals(TwoThreads.class.getName());
                        awaitTurns(vm, e.location().toString());
                        stops++;
                    }
                }
                events.resume();
            }
        } finally {
            vm.process().destroyForcibly().waitFor();
        }
        assertTrue(stops > 50, stops + " instructions");
    }

    private static void awaitTurns(VirtualMachine vm, String at) throws InterruptedException {
        ReferenceType type = vm.classesByName(TwoThreads.class.getName()).get(0);
        long from = ((LongValue) type.getValue(type.fieldByName("turns"))).value();
        long by = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (((LongValue) type.getValue(type.fieldByName("turns"))).value() < from + 2) {
            assertTrue(System.nanoTime() < by, "the reader has not turned since the writer was stopped at " + at);
            TimeUnit.NANOSECONDS.sleep(MS);
        }
    }
}
