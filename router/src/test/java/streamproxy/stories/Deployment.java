package streamproxy.stories;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import streamproxy.protocol.NodeConfig;
import streamproxy.protocol.OperatorFile;
import streamproxy.program.Router;

/** A small deployment on loopback: scripted boxes, a scripted box list, and what a router there is told. */
final class Deployment implements AutoCloseable {
    /** What the box list says next on its watch; a null line ends the watch. */
    final BlockingQueue<String> news = new LinkedBlockingQueue<>();
    final ScriptedPeer list;
    final Map<String, String> environment;
    private final Path config;
    private final String told;

    Deployment(String listen, int sockets, ScriptedPeer... boxes) throws IOException { this(listen, sockets, 192, boxes); }

    Deployment(String listen, int sockets, int memoryMb, ScriptedPeer... boxes) throws IOException {
        list = new ScriptedPeer(this::watch);
        StringBuilder known = new StringBuilder();
        for (int i = 0; i < boxes.length; i++) {
            known.append(i > 0 ? "," : "").append(entry("s-" + i, boxes[i].address(), "ready"));
        }
        config = Files.createTempFile("streamproxy", ".json");
        told = "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + sockets + ",\"memory_mb\":" + memoryMb + "},\"known\":"
                + told(1, true, known.toString()) + ",\"settings\":" + SETTINGS + "}";
        configure("{" + told);
        environment = Map.of("NODE_NAME", "n0", "NODE_LISTEN", listen, "NODE_DISCOVERY", list.address(),
                "NODE_CONFIG", config.toString());
    }

    static Deployment of(ScriptedPeer... boxes) throws IOException { return new Deployment("127.0.0.1:0", 1024, boxes); }

    /** Replaces the configuration, whatever it is. */
    void configure(String text) throws IOException { Files.writeString(config, text); }

    /** Replaces the configuration by one that names where operators call. */
    void configureOperator(String address) throws IOException {
        configure("{\"operator\":\"" + address + "\"," + told);
    }

    /** Replaces the configuration by one that names another box list. */
    void configureDiscovery(String address) throws IOException {
        configure("{\"discovery\":\"" + address + "\"," + told);
    }

    /** The same with another list's address, and one of the settings told otherwise. */
    void configureOtherwise(String address, String setting, String otherwise) throws IOException {
        configure(("{\"discovery\":\"" + address + "\"," + told).replace(setting, otherwise));
    }

    Router start() throws IOException, NodeConfig.Unusable { return start(OperatorFile.NONE); }

    Router start(OperatorFile operator) throws IOException, NodeConfig.Unusable {
        Router router = new Router(NodeConfig.read(environment), operator);
        router.start();
        return router;
    }

    static String entry(String uid, String address, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"thu-duc\",\"model\":\"big-gpu\","
                + "\"pod_group\":0,\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    static String told(int version, boolean full, String entries) {
        return "{\"rev\":" + version + ",\"all\":" + full + ",\"targets\":[" + entries + "]}";
    }

    private void watch(ScriptedPeer.Exchange call) throws IOException, InterruptedException {
        call.streamHead();
        for (String line = news.take(); !line.equals("end"); line = news.take()) {
            call.chunk(line + "\n");
        }
        call.socket().close();
    }

    @Override public void close() throws IOException {
        list.close();
        Files.delete(config);
    }

    private static final String SETTINGS = """
            {"Me":0,"Balancers":1,"Az":0,"Areas":["thu-duc","tan-binh"],"Flavors":["big-gpu"],"Discovery":"on_request",
             "Classes":[{"Name":"chat","GiveUp":3000000000,"Promise":2500000000,"Gain":1.0,"Group":"all",
              "Idempotency":"safe","Stream":true,"Window":0}],
             "Domain":{"AimUsPer1000PromptTokens":[0],"ReportX1":"thousands of prompt tokens waiting to be read",
              "TokenAim":[20000000],"Resume":true},
             "Guarantees":{"AskEvery":2000000000,"Fall":2000000000,"GraceToAnswer":20000000,"RampTime":24000000000,
              "StartCapacity":0.12,"StopSendingWithin":500000000,"TipMultiple":2.5},
             "Limits":{"Cancel":true,"ConnectTimeout":120000000,"Keepalive":5000000000,"MaxAttempts":3,
              "MaxRetryAfter":2000000000,"Probes":true,"RetryAfter":true,"SecondCopies":true},
             "Report":{"Fields":["lat_ms","rif","q","x1"],"Source":"pull"},"Tenants":[]}""";
}
