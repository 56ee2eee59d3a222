package streamproxy.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Reads the path=value settings of an instance. Unknown paths are passed over. */
public final class SettingsText {
    /** A setting that a rule needs is missing, unreadable or impossible; the message names it. */
    public static final class Missing extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Missing(String path) { super("setting missing or unreadable: " + path); }

        Missing(String path, String why) { super("setting " + path + ": " + why); }
    }

    private final Map<String, String> values = new HashMap<>();

    public SettingsText(String text) {
        for (String line : text.split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                values.put(line.substring(0, eq).strip(), line.substring(eq + 1).strip());
            }
        }
    }

    /** The settings in the module's own terms; each class's deadline and the attempts must be over 0. */
    public Routing.Settings settings() {
        for (int i = 0; i < (int) need("Classes.count"); i++) {
            over("Classes." + i + ".GiveUp");
        }
        over("Limits.MaxAttempts");
        List<Routing.RequestClass> classes = new ArrayList<>();
        int count = (int) need("Classes.count");
        String[] perThousand = list("Domain.AimUsPer1000PromptTokens");
        for (int i = 0; i < count; i++) {
            String at = "Classes." + i + ".";
            Routing.Effect effect = word(Routing.Effect.class, at + "Idempotency");
            boolean keyed = effect == Routing.Effect.KEYED;
            Routing.Group group = keyed ? word(Routing.Group.class, at + "Group") : Routing.Group.ALL;
            long window = keyed ? (long) need(at + "Window") : 0;
            double slope = number(i < perThousand.length ? perThousand[i] : "", 0);
            long aim = (long) get(at + "Promise", need(at + "GiveUp") / 4);
            classes.add(new Routing.RequestClass(values.getOrDefault(at + "Name", "class-" + i), effect, group, window,
                    aim, slope, (long) need(at + "GiveUp"), get(at + "Gain", 1), get(at + "LateWorth", 0),
                    flag(at + "Stream", false)));
        }
        List<Routing.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < (int) get("Tenants.count", 0); i++) {
            String at = "Tenants." + i + ".";
            tenants.add(new Routing.Tenant(values.getOrDefault(at + "Name", "tenant-" + i),
                    get(at + "AllowancePerS", 0), get(at + "Share", 0)));
        }
        boolean onRequest = values.getOrDefault("Discovery", "pushed").equals("on_request");
        Routing.Rules rules = new Routing.Rules((long) get("Guarantees.GraceToAnswer", 0),
                (long) need("Guarantees.StopSendingWithin"), onRequest ? (long) need("Guarantees.AskEvery") : 0,
                need("Guarantees.StartCapacity"), (long) need("Guarantees.RampTime"), need("Guarantees.TipMultiple"),
                (long) need("Guarantees.Fall"));
        Routing.Limits limits = new Routing.Limits((int) need("Limits.MaxAttempts"), flag("Limits.SecondCopies", false),
                flag("Limits.Cancel", false), flag("Limits.Probes", false), flag("Limits.RetryAfter", false),
                (long) get("Limits.MaxRetryAfter", 0));
        Routing.Prices prices = new Routing.Prices(get("Costs.Waste", 0), get("Costs.Probe", 0),
                get("Costs.CrossZone", 0), get("Costs.Handshake", 0), get("Costs.Connection", 0));
        Routing.Reports reports = switch (values.getOrDefault("Report.Source", "silent")) {
            case "piggyback" -> Routing.Reports.PIGGYBACK;
            case "pull" -> Routing.Reports.PULL;
            default -> Routing.Reports.SILENT;
        };
        return new Routing.Settings(me(), gateways(), (int) get("Az", 0), classes, tenants,
                get("OverShareWorth", 1), reports, onRequest, rules, limits, prices, weights());
    }

    /** A word that is unknown here may mean anything: then weights are no sizes. */
    private Routing.Weights weights() {
        return switch (values.getOrDefault("Weights", "silent")) {
            case "nominal" -> Routing.Weights.NOMINAL;
            case "rough" -> Routing.Weights.ROUGH;
            case "live" -> Routing.Weights.LIVE;
            default -> Routing.Weights.SILENT;
        };
    }

    /** How many routers share the boxes. A wrong number would have each take the turns or the boxes of others. */
    public int gateways() {
        int gateways = whole("Balancers");
        if (gateways < 1) {
            throw new Missing("Balancers", gateways + " is no number of routers");
        }
        return gateways;
    }

    /** Which of them this one is, from 0. */
    public int me() {
        int me = whole("Me");
        if (me < 0 || me >= gateways()) {
            throw new Missing("Me", me + " is none of " + gateways() + " routers, which are numbered from 0");
        }
        return me;
    }

    private int whole(String path) {
        double value = need(path);
        if (value != (int) value) {
            throw new Missing(path, values.get(path) + " is no whole number");
        }
        return (int) value;
    }

    /** What a router needs to know of its deployment beside what the module is told. */
    public record Deployment(List<String> centres, List<String> kinds, List<String> tenants, long connectTimeoutNs,
            long keepaliveNs, List<Long> silenceNs) { }

    /** A stream is held to have stopped after so many times its class's aim for one token, but at least so long. */
    private static final double SILENT_TOKENS = 20;
    private static final double SILENT_LEAST = 1e9;
    /** Where a broken stream's client cannot have the rest, it is only broken when it would be lost by waiting. */
    private static final double SILENT_LONGEST = 4e9;

    public Deployment deployment() {
        List<String> tenants = new ArrayList<>();
        for (int i = 0; i < (int) get("Tenants.count", 0); i++) {
            tenants.add(values.getOrDefault("Tenants." + i + ".Name", "tenant-" + i));
        }
        List<Long> silence = new ArrayList<>();
        String[] tokenAims = list("Domain.TokenAim");
        for (int i = 0; i < (int) need("Classes.count"); i++) {
            double aim = number(i < tokenAims.length ? tokenAims[i] : "", SILENT_LONGEST);
            boolean resumed = flag("Domain.Resume", false);
            silence.add((long) (resumed ? Math.min(SILENT_LONGEST, Math.max(SILENT_LEAST, SILENT_TOKENS * aim))
                    : SILENT_LONGEST));
        }
        return new Deployment(List.of(list("Areas")), List.of(list("Flavors")), tenants,
                (long) need("Limits.ConnectTimeout"), (long) need("Limits.Keepalive"),
                silence);
    }

    /** What each value of a load report is and its scale, in the order of the reports. */
    public ReportLayout reportLayout() {
        String[] names = list("Report.Fields");
        return new ReportLayout(names, values.getOrDefault("Domain.ReportX0", ""),
                values.getOrDefault("Domain.ReportX1", ""));
    }

    private String[] list(String path) {
        String text = values.getOrDefault(path, "");
        return text.isEmpty() ? new String[0] : text.split(",");
    }

    private void over(String path) {
        if (!(need(path) > 0)) {
            throw new Missing(path, values.get(path) + " is not over 0");
        }
    }

    private double need(String path) {
        double value = number(values.get(path), Double.NaN);
        if (Double.isNaN(value)) {
            throw new Missing(path);
        }
        return value;
    }

    private double get(String path, double otherwise) { return number(values.get(path), otherwise); }

    private static double number(String text, double otherwise) {
        try {
            return text == null || text.isEmpty() ? otherwise : Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    private boolean flag(String path, boolean otherwise) {
        String text = values.get(path);
        return text == null ? otherwise : text.equals("true");
    }

    private <E extends Enum<E>> E word(Class<E> type, String path) {
        try {
            return Enum.valueOf(type, values.getOrDefault(path, "").toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new Missing(path);
        }
    }
}
