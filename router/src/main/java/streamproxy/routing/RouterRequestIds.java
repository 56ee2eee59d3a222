package streamproxy.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import org.tinylog.Logger;

/**
 * The ids of the requests that this router took lately: by this process, and, where both have a folder in common, by a process
 * that stands beside it while the router is replaced. Without such a folder, or where it fails, each process knows its own.
 */
public final class RouterRequestIds implements RequestIds {
    private static final String FILE = "streamproxy-request-ids-1-";

    private final RequestIds own = new RecentRequestIds();
    private final SharedRequestIds shared; // null where there is none

    private RouterRequestIds(SharedRequestIds shared) { this.shared = shared; }

    /**
     * @param folder what processes of one router have in common; null where there is nothing
     * @param listen where clients connect: processes with the same address are one router
     */
    public static RouterRequestIds open(Path folder, InetSocketAddress listen) {
        if (folder == null || listen.getPort() == 0) {
            Logger.info("request ids are this process's own: no $TMPDIR, or no fixed address");
            return new RouterRequestIds(null);
        }
        try {
            SharedRequestIds shared = SharedRequestIds.open(folder, FILE + listen.getHostString() + "-" + listen.getPort());
            Logger.info("request ids are shared with processes at {}{}", listen,
                    shared.startedBesideAnother() ? ", one of which runs" : "");
            return new RouterRequestIds(shared);
        } catch (IOException | RuntimeException | OutOfMemoryError e) {
            Logger.warn("request ids cannot be shared with a process beside this one, which may run a request again: {}", e.toString());
            return new RouterRequestIds(null);
        }
    }

    /** Whether another process of this router was running as this one started. */
    public boolean startedBesideAnother() { return shared != null && shared.startedBesideAnother(); }

    @Override public boolean add(String id) { return own.add(id) && (shared == null || shared.add(id)); }
}
