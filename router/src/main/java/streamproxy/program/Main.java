package streamproxy.program;

import java.io.IOException;
import java.util.concurrent.Semaphore;
import org.tinylog.Logger;
import streamproxy.benchlink.BenchLink;
import streamproxy.protocol.NodeConfig;
import streamproxy.decision.SettingsText;

/** Command-line entry: {@code serve} runs one router, {@code benchlink} the module on the simulator's wire. */
public final class Main {
    private static final int USAGE = 2;
    private static final int UNUSABLE = 3;

    private Main() { }

    public static void main(String[] args) throws IOException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "benchlink" -> System.exit(BenchLink.run(System.in, System.out, System.err));
            case "serve" -> serve();
            default -> {
                System.err.println("usage: java -jar streamproxy.jar serve|benchlink");
                System.exit(USAGE);
            }
        }
    }

    private static void serve() {
        Semaphore hangUps = new Semaphore(0);
        HangUp.then(hangUps::release); // first of all: unhandled, SIGHUP ends a JVM
        Router router;
        try {
            router = new Router(NodeConfig.read(System.getenv()));
        } catch (NodeConfig.Unusable | SettingsText.Missing | IllegalArgumentException | IOException e) {
            System.err.println("streamproxy: " + String.valueOf(e.getMessage()).replace('\n', ' '));
            System.exit(UNUSABLE);
            return;
        }
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> Logger.error(e, "in thread {}", thread.getName()));
        // SIGTERM runs this hook; other threads go on until it is done, and the exit code is 0 then.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                router.leave();
            } catch (IOException | InterruptedException | RuntimeException e) {
                Logger.error(e, "leaving");
            }
            Runtime.getRuntime().halt(0);
        }, "leaving"));
        router.start();
        try {
            while (true) { // other threads do the work, until a signal ends the program
                hangUps.acquire();
                hangUps.drainPermits(); // what is read now is as new as the last of them wants
                router.reload(() -> NodeConfig.discoveryInFile(System.getenv()));
            }
        } catch (InterruptedException e) {
            Logger.info("interrupted");
        }
    }
}
