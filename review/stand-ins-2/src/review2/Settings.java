package review2;

import java.util.List;
import java.util.Locale;

/** The configuration of a router of a small deployment; the figures are those that the pages show for dinhgia-hcm. */
public final class Settings {
    /** One class of requests; times in milliseconds. */
    public record RequestClass(String name, double gain, int promiseMs, int giveUpMs, String effect, String group, int windowMs) { }

    public static final RequestClass COMPLETE = new RequestClass("complete", 2, 300, 1_000, "safe", "all", 5_000);
    public static final RequestClass CHAT = new RequestClass("chat", 5, 1_000, 4_000, "safe", "all", 5_000);
    public static final RequestClass BULK = new RequestClass("bulk", 1, 3_000, 15_000, "safe", "all", 5_000);

    public List<RequestClass> classes = List.of(COMPLETE, CHAT, BULK);
    public int routers = 2;
    public int attempts = 3;
    public boolean resume = true;
    public boolean secondCopies = true;
    public String discovery = "on_request";
    public String weights = "nominal";
    public String areas = "\"thu-duc\",\"tan-binh\"";
    public int memoryMb = 192;
    public int sockets = 1_024;
    public int connectTimeoutMs = 120;
    public double start = 0.12;
    public int rampMs = 24_000;
    public double tip = 2.5;
    public int fallMs = 2_000;

    private static String ns(long ms) { return String.valueOf(ms * 1_000_000L); }

    public String settings(int me) {
        StringBuilder told = new StringBuilder();
        for (RequestClass c : classes) {
            told.append(told.isEmpty() ? "" : ",").append(String.format(Locale.ROOT, "{\"Name\":\"%s\",\"Gain\":%.1f,\"Promise\":%s,\"GiveUp\":%s,"
                    + "\"Stream\":true,\"Idempotency\":\"%s\",\"Group\":\"%s\",\"Window\":%s,\"LateWorth\":0.0}", c.name, c.gain, ns(c.promiseMs),
                    ns(c.giveUpMs), c.effect, c.group, ns(c.windowMs)));
        }
        String slopes = String.join(",", classes.stream().map(c -> "60000.0").toList());
        String tokens = String.join(",", classes.stream().map(c -> "100000000").toList());
        return "{\"Me\":" + me + ",\"Balancers\":" + routers + ",\"Az\":0,\"Areas\":[" + areas + "],\"Flavors\":[\"big-gpu\",\"mid-gpu\",\"small-gpu\"],"
                + "\"Discovery\":\"" + discovery + "\",\"DomainType\":\"llm\",\"Tenants\":[],\"Tier\":0,\"Tiers\":[\"model-replicas\"],\"Weights\":\"" + weights + "\","
                + "\"WorthBy\":\"request\",\"OverShareWorth\":0.1,\"Step\":5000000,\"ClientHabits\":{\"MarksRetry\":false},"
                + "\"Classes\":[" + told + "],"
                + "\"Costs\":{\"Connection\":0.0,\"CrossZone\":0.02,\"Discovery\":0.0,\"Handshake\":0.02,\"LateFail\":0.08,\"Probe\":0.002,\"Waste\":0.3},"
                + "\"Domain\":{\"AimUsPer1000PromptTokens\":[" + slopes + "],\"TokenAim\":[" + tokens + "],\"Resume\":" + resume
                + ",\"ReportX0\":\"share of memory held by running requests\",\"ReportX1\":\"thousands of prompt tokens waiting to be read\"},"
                + "\"Goal\":{\"Whole\":0.55,\"WorstClass\":0.3,\"WorstTenant\":0.0,\"WorstWindow\":0.15},"
                + "\"Guarantees\":{\"AskEvery\":10000000000,\"Fall\":" + ns(fallMs) + ",\"GraceToAnswer\":20000000,\"RampTime\":" + ns(rampMs)
                + ",\"StartCapacity\":" + start + ",\"StopSendingWithin\":500000000,\"TipMultiple\":" + tip + "},"
                + "\"Limits\":{\"Cancel\":true,\"ConnectTimeout\":" + ns(connectTimeoutMs) + ",\"CpuUsPerRequest\":10.0,\"CpuUsPerS\":19349,"
                + "\"Keepalive\":5000000000,\"MaxAttempts\":" + attempts + ",\"MaxOpen\":25798,\"MaxRetryAfter\":2000000000,\"MayTell\":false,\"Multiplex\":1,"
                + "\"Probes\":true,\"RetryAfter\":true,\"SecondCopies\":" + secondCopies + "},"
                + "\"Report\":{\"Fields\":[\"lat_ms\",\"rif\",\"q\",\"x1\"],\"Source\":\"pull\"}}";
    }

    /** A router's whole file. */
    public String file(Rig.Router router, int me, int discovery, String known) { return file(router, me, discovery, known, settings(me)); }

    public String file(Rig.Router router, int me, int discovery, String known, String settings) {
        return "{\"name\":\"" + router.name + "\",\"listen\":\"127.0.0.1:" + router.port + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"operator\":\"127.0.0.1:" + router.operatorPort + "\",\"seed\":\"" + Rig.newId() + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},\"known\":" + known + ",\"settings\":" + settings + "}";
    }
}
