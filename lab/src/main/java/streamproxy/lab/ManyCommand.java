package streamproxy.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** {@code many}: more idle clients than one process may hold, over several routers. */
@Command(name = "many", mixinStandardHelpOptions = true, versionProvider = Lab.Version.class,
        description = {"Holds idle clients over several routers, with processes of their own on the clients' side, and measures what",
                "each router and the kernel take, what they do at rest, and whether any client is closed early."},
        footer = {"", "Example:", "  lab many --clients 100000 --routers 6 --out docs/measurements"})
final class ManyCommand implements Callable<Integer> {
    private static final int BOXES = 4;
    private static final int REST_S = 10;

    @Mixin private Setup setup;

    @Option(names = "--clients", defaultValue = "100000", description = "How many in all; ${DEFAULT-VALUE} by default.")
    private int clients;

    @Option(names = "--routers", defaultValue = "6", description = "Over how many routers; ${DEFAULT-VALUE} by default.")
    private int routers;

    @Override public Integer call() throws Exception {
        Results results = new Results("router", "held", "closed_early", "connect_s", "heap_bytes_each", "resident_kb", "threads",
                "cpu_percent_at_rest", "kernel_mb_all", "kernel_bytes_each_both_ends");
        List<AutoCloseable> opened = new ArrayList<>();
        try {
            measure(results, opened);
        } finally {
            for (int i = opened.size() - 1; i >= 0; i--) {
                opened.get(i).close();
            }
        }
        System.out.println(results.text(setup.json));
        if (setup.out != null) {
            results.csv(setup.out, "many");
        }
        return 0;
    }

    private void measure(Results results, List<AutoCloseable> opened) throws Exception {
        int share = (clients + routers - 1) / routers;
        StandIns fleet = new StandIns(BOXES);
        opened.add(fleet);
        List<RouterProcess> started = new ArrayList<>();
        List<Long> heapBefore = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            started.add(setup.router(fleet, share, ""));
            opened.add(started.get(i));
            heapBefore.add(started.get(i).liveHeapBytes());
        }
        long kernelBefore = Setup.slabKb();
        List<Holder> holders = new ArrayList<>();
        for (RouterProcess router : started) {
            holders.add(new Holder(router.address(), share));
            opened.add(holders.get(holders.size() - 1));
        }
        List<double[]> held = new ArrayList<>();
        for (Holder holder : holders) {
            held.add(holder.awaitHeld());
            Lab.progress((int) held.get(held.size() - 1)[0] + " are held by one more router");
        }
        double kernelKb = Setup.slabKb() - kernelBefore;
        double all = held.stream().mapToDouble(h -> h[0]).sum();
        List<Double> cpu = new ArrayList<>();
        for (RouterProcess router : started) {
            cpu.add(router.cpuS());
        }
        TimeUnit.SECONDS.sleep(REST_S);
        for (int i = 0; i < routers; i++) {
            cpu.set(i, 100 * (started.get(i).cpuS() - cpu.get(i)) / REST_S);
        }
        for (int i = 0; i < routers; i++) {
            RouterProcess router = started.get(i);
            results.add(i + 1, held.get(i)[0], holders.get(i).closed(), held.get(i)[2],
                    (router.liveHeapBytes() - heapBefore.get(i)) / held.get(i)[0], router.residentKb(), router.threads(), cpu.get(i),
                    kernelKb / 1024, kernelKb * 1024 / all);
        }
    }
}
