import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * While a request that may not run twice is under way, a second process is started beside the router, as for an upgrade, and another
 * client names the id of that open request. The two are one router: the request may not run again.
 */
public final class TwoProcesses {
    private static final int TRIES = 24;
    private static final double DEADLINE_S = 15;

    private TwoProcesses() { }

    public static void main(String[] args) { Rig.run(args, TwoProcesses::holds); }

    private static boolean holds(Rig rig, boolean trouble) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        String id = Client.newId();
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            engines.add(rig.ends(new Engine("s-" + i, rig.record) {
                @Override void answer(String of, java.io.OutputStream out) throws IOException, InterruptedException {
                    if (of.equals(id)) {
                        int run = runs.incrementAndGet();
                        record.line("engine %s runs %s, run %d%s", uid, of, run, run > 1 ? ": BROKEN, it runs again" : "");
                        Thread.sleep(10_000); // a long wait for the first token, within the client's time
                    }
                    super.answer(of, out);
                }
            }));
        }
        Discovery discovery = rig.ends(new Discovery("A", rig.record, 1, engines));
        String unsafe = Rig.settings(1).replace("{\"Name\":\"bulk\",\"Gain\":1.0,\"Promise\":3000000000,\"GiveUp\":15000000000,\"Stream\":true,\"Idempotency\":\"safe\"",
                "{\"Name\":\"bulk\",\"Gain\":1.0,\"Promise\":12000000000,\"GiveUp\":15000000000,\"Stream\":true,\"Idempotency\":\"unsafe\"");
        Rig.Router old = rig.new Router("n0");
        old.configure(Rig.config("n0", old.listen(), discovery.address(), engines, unsafe));
        old.start(discovery.address());
        old.awaitReady();
        Thread.sleep(3_000);
        String request = Client.request(id, "bulk", DEADLINE_S, Client.prompt("note for parcel " + id));
        AtomicInteger answered = new AtomicInteger();
        Http.daemon(() -> answered.addAndGet(new Client(old.listen(), rig.record).ask(id, "bulk", DEADLINE_S, request).isServed() ? 1 : 0));
        for (int i = 0; i < 200 && runs.get() == 0; i++) {
            Thread.sleep(10);
        }
        if (runs.get() == 0) {
            throw new Rig.CannotRun("the request did not begin");
        }
        if (trouble) {
            Rig.Router next = rig.beside(old);
            next.start(discovery.address());
            next.awaitHealth();
        }
        for (int i = 0; i < TRIES && runs.get() == 1; i++) {
            String told = first(old.listen(), request);
            rig.record.line("another client names the id of the open request on a new connection: %s", told);
        }
        if (trouble) {
            old.signal("TERM");
        }
        for (int i = 0; i < 120 && answered.get() == 0; i++) {
            Thread.sleep(100);
        }
        rig.record.line("%s ran %d times; its client was %s", id, runs.get(), answered.get() == 1 ? "served" : "not served");
        return runs.get() == 1;
    }

    /** The first line of the answer; what there is none of within a second is told as that. */
    private static String first(String router, String request) {
        try (Socket socket = Client.connect(router)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Http.bytes(request));
            return Http.line(socket.getInputStream());
        } catch (IOException e) {
            return "no answer within a second";
        }
    }
}
