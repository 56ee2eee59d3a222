package streamproxy.lab;

import java.net.InetSocketAddress;
import java.util.Scanner;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code hold}: one process's share of very many idle clients, since a process may hold only so many descriptors.
 * {@code many} starts it, and speaks with it in lines: it says {@code held N lost M s S} once all have come, answers
 * {@code closed} with how many the router has closed since, and ends with its standard input.
 */
@Command(name = "hold", hidden = true, mixinStandardHelpOptions = true, versionProvider = Lab.Version.class,
        description = "Holds idle clients for the command many.",
        footer = {"", "Example:", "  lab hold --port 8080 --clients 1000 < /dev/null"})
final class HoldCommand implements Callable<Integer> {
    private static final long PATIENCE_S = 300;

    @Option(names = "--port", required = true, description = "The router's, on loopback.")
    private int port;

    @Option(names = "--clients", required = true, description = "How many.")
    private int clients;

    @Override public Integer call() throws Exception {
        try (IdleClients idle = new IdleClients(new InetSocketAddress("127.0.0.1", port)); Scanner asked = new Scanner(System.in)) {
            IdleClients.Came came = idle.connect(clients, PATIENCE_S);
            System.out.println("held " + idle.size() + " lost " + (came.lost() + came.turnedAway()) + " s " + came.seconds());
            while (asked.hasNextLine()) {
                if (asked.nextLine().equals("closed")) {
                    System.out.println("closed " + idle.closedByRouter());
                }
            }
        }
        return 0;
    }
}
