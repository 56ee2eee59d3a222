package streamproxy.lab.faults;

import java.util.List;
import java.util.stream.Collectors;

/** The parts of a replica's answer, as the protocol page has them. */
final class ReplicaStream {
    static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    static final String LAST_CHUNK = "0\r\n\r\n";
    static final String TEXT = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";
    static final String FINISH = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"table\"},\"finish_reason\":\"stop\"}]}\n\n";
    static final String USAGE = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5120,\"completion_tokens\":200,"
            + "\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n";
    static final String DONE = "data: [DONE]\n\n";
    static final String REPORT = ": Srv-Load: {\"lat_ms\":5,\"rif\":0,\"q\":0,\"x1\":0}\n\n";

    private ReplicaStream() { }

    /** The events of a complete answer. */
    static List<String> complete() { return List.of(TEXT, FINISH, USAGE, DONE); }

    static String chunk(String text) { return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"; }

    /** Each event as a chunk of its own. */
    static String chunks(List<String> events) { return events.stream().map(ReplicaStream::chunk).collect(Collectors.joining()); }
}
