package streamproxy.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/** A process of {@link HoldCommand}, seen from the one that has started it. */
final class Holder implements AutoCloseable {
    private final Process process;
    private final BufferedReader says;
    private final Writer ask;

    Holder(InetSocketAddress router, int clients) throws IOException {
        process = new ProcessBuilder(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx256m", "-cp",
                System.getProperty("java.class.path"), Lab.class.getName(), "hold", "--port", String.valueOf(router.getPort()),
                "--clients", String.valueOf(clients))).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        says = process.inputReader();
        ask = process.outputWriter();
    }

    /** Waits until all have come; how many are held, how many were not taken, and the seconds that took. */
    double[] awaitHeld() throws IOException {
        String[] words = line().split(" ");
        return new double[] {Double.parseDouble(words[1]), Double.parseDouble(words[3]), Double.parseDouble(words[5])};
    }

    /** How many the router has closed so far. */
    int closed() throws IOException {
        ask.write("closed\n");
        ask.flush();
        return Integer.parseInt(line().split(" ")[1]);
    }

    private String line() throws IOException {
        String line = says.readLine();
        if (line == null) {
            throw new IOException("a process that holds clients has ended");
        }
        return line;
    }

    @Override public void close() throws IOException {
        process.destroy();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
