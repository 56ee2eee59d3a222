package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** Service discovery as the protocol page has it: whole lists, and watches with an empty line every 2 s. */
public final class Discovery implements AutoCloseable {
    private final Rig rig;
    private final ServerSocket server;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<String> changes = new ArrayList<>(); // by version, from 1 on
    private final List<Socket> open = new CopyOnWriteArrayList<>();

    public Discovery(Rig rig) throws IOException {
        this.rig = rig;
        server = new ServerSocket(Rig.freePort(), 512, Rig.loopback());
        start("discovery", this::accept);
    }

    static void start(String name, Runnable run) {
        Thread thread = new Thread(null, run, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    public int port() { return server.getLocalPort(); }

    public static String entry(Engine engine, String state) {
        return "{\"uid\":\"" + engine.uid + "\",\"endpoint\":\"127.0.0.1:" + engine.port() + "\",\"az\":\"" + engine.az + "\",\"model\":\"mid-gpu\",\"pod_group\":"
                + engine.cell + ",\"state\":\"" + state + "\",\"capacity_hint\":" + String.format(Locale.ROOT, "%.3f", engine.hint) + ",\"boot_ms\":" + engine.bootMs + "}";
    }

    /** A change of the list, told to all watches at once. */
    public synchronized void tell(Engine engine, String state) {
        String entry = entry(engine, state);
        if (state.equals("gone")) {
            entries.remove(engine.uid);
        } else {
            entries.put(engine.uid, entry);
        }
        changes.add(entry);
        rig.note("discovery tells at version " + changes.size() + ": " + engine.uid + " " + state);
        notifyAll();
    }

    public synchronized String list() {
        return "{\"rev\":" + changes.size() + ",\"all\":true,\"targets\":[" + String.join(",", entries.values()) + "]}";
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                open.add(socket);
                start("discovery call", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String target = Rig.Head.read(in).first().split(" ")[1];
                if (!target.contains("follow=1")) {
                    String list = list();
                    out.write(Rig.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
                    continue;
                }
                int since = Integer.parseInt(target.replaceAll(".*since=(\\d+).*", "$1"));
                out.write(Rig.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"));
                follow(out, since);
                return;
            }
        } catch (IOException | InterruptedException e) {
            // the caller has gone
        }
    }

    private void follow(OutputStream out, int since) throws IOException, InterruptedException {
        int told = since;
        while (true) {
            String line = "";
            synchronized (this) {
                long until = System.nanoTime() + 2_000_000_000L;
                for (long left = 2_000; changes.size() <= told && left > 0; left = (until - System.nanoTime()) / 1_000_000) {
                    wait(left);
                }
                if (changes.size() > told) {
                    line = "{\"rev\":" + changes.size() + ",\"all\":false,\"targets\":[" + String.join(",", changes.subList(told, changes.size())) + "]}";
                    told = changes.size();
                }
            }
            out.write(Rig.chunkOf(line + "\n"));
        }
    }

    @Override public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
