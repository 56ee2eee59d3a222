package streamproxy.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import streamproxy.program.Fleet;
import streamproxy.protocol.EndpointEntry;

/** A router whose folder is damaged: it serves, holds nothing, has no part of the boxes, and says why. */
final class Stopped implements Fleet {
    private final FleetSettings settings;
    private final MemberDirectory folder; // kept: no other process may run from it meanwhile
    private final String why;

    Stopped(FleetSettings settings, MemberDirectory folder, String why) {
        this.settings = settings;
        this.folder = folder;
        this.why = why;
    }

    @Override public void left() throws IOException { folder.close(); }

    /** What is damaged is not the list that is kept here. */
    @Override public EndpointEntry.News known(EndpointEntry.News configured, InetSocketAddress service) {
        return KeptList.open(folder.path()).begin(configured, service);
    }

    @Override public void divide(Consumer<Division> to, LongSupplier clock) {
        to.accept(Duties.NOBODY);
    }

    @Override public Reply call(String method, String path) {
        if (!path.equals("/admin/fleet")) {
            return new Reply(409, "{\"error\":" + FleetNode.text(why) + "}");
        }
        return method.equals("GET") ? new Reply(200, "{\"fleet\":" + FleetNode.text(settings.id()) + ",\"name\":"
                + FleetNode.text(settings.name()) + ",\"member\":false,\"refused\":" + FleetNode.text(why)
                + ",\"leader\":\"\",\"role\":\"none\",\"peers\":[],\"members\":[],\"duties\":[],\"here\":[],\"live\":[],\"divides\":false}")
                : new Reply(405, "{\"error\":\"only GET\"}");
    }
}
