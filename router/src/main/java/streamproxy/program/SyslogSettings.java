package streamproxy.program;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.protocol.OperatorFile;
import streamproxy.syslog.Collector;
import streamproxy.syslog.Framing;
import streamproxy.syslog.Keys;
import streamproxy.syslog.Message;
import streamproxy.syslog.Syslog;

/** Reads {@code [syslog]} and {@code [syslog collector NAME]} of an operator's file; what is wrong is said with its place. */
final class SyslogSettings {
    private static final String SYSLOG = "syslog";
    private static final long SECOND = 1_000_000_000L;
    private static final int DATAGRAM_BYTES = 1_180; // RFC 5426 3.2: what every IPv6 path carries, without its headers
    private static final int STREAM_BYTES = 8_192; // RFC 5425 4.3.1: what a receiver should take
    private static final int MOST_BYTES = 65_000;
    private static final long MB = 1 << 20;

    private final OperatorFile file;
    private final String section;
    private final Map<String, String> set;

    private SyslogSettings(OperatorFile file, String section) {
        this.file = file;
        this.section = section;
        Map<String, String> texts = file.section(section);
        set = texts == null ? Map.of() : texts;
    }

    /** Whether records are wanted as JSON lines on standard error. */
    static boolean json(OperatorFile file) throws Unusable { return new SyslogSettings(file, SYSLOG).flag("json", false); }

    /** What the file says of collectors; empty where it names none. */
    static Optional<Syslog.Wishes> wishes(OperatorFile file, long seed) throws Unusable {
        json(file);
        SyslogSettings general = new SyslogSettings(file, SYSLOG);
        List<Collector> collectors = new ArrayList<>();
        for (String name : file.collectors()) {
            collectors.add(new SyslogSettings(file, OperatorFile.collectorSection(name)).collector(name));
        }
        String to = general.word("to", "all", "all", "first");
        String spool = general.set.get("spool");
        long spoolMb = general.whole("spool_mb", 1, 100_000, 64);
        if (spool == null && general.set.containsKey("spool_mb")) {
            throw general.unusable("spool_mb", "without a spool there is nothing to bound");
        }
        if (collectors.isEmpty()) {
            if (general.set.keySet().stream().anyMatch(key -> !key.equals("json"))) {
                throw general.unusable(null, "no [syslog collector NAME] is set");
            }
            return Optional.empty(); // no host's name is looked up for nothing
        }
        Message.Origin origin = new Message.Origin((int) general.whole("facility", 0, 23, 16), general.set.containsKey("host") ? general.set.get("host") : hostName(),
                general.set.getOrDefault("app", "streamproxy"), ProcessHandle.current().pid(), version(),
                (int) general.whole("enterprise", 1, Integer.MAX_VALUE, Message.DOCUMENTATION), general.flag("clock_synced", false),
                System.currentTimeMillis());
        int queue = (int) general.whole("queue", 8, 1_000_000, 4_096);
        long failBack = general.seconds("fail_back_s", 0.1, 86_400, 60);
        long drain = general.seconds("drain_s", 0, 60, 1);
        long report = general.seconds("report_s", 0.1, 86_400, 60);
        long stalled = general.seconds("stalled_s", 0.1, 600, 5);
        Path folder = spool == null ? null : general.path("spool", spool);
        return Optional.of(new Syslog.Wishes(origin, collectors, to.equals("all"), queue, failBack, drain, report, stalled, folder,
                spoolMb * MB, seed));
    }

    private static String hostName() {
        String named = System.getenv("HOSTNAME");
        if (named != null && !named.isBlank()) {
            return named;
        }
        try {
            return InetAddress.getLocalHost().getHostName();
        } catch (UnknownHostException e) {
            return "-";
        }
    }

    private static String version() {
        String version = SyslogSettings.class.getPackage().getImplementationVersion();
        return version == null ? "-" : version;
    }

    private Collector collector(String name) throws Unusable {
        if (name.isBlank()) {
            throw unusable(null, "a collector needs a name");
        }
        String address = set.get("address");
        int colon = address == null ? -1 : address.lastIndexOf(':');
        if (colon <= 0 || !address.substring(colon + 1).matches("\\d{1,5}") || Integer.parseInt(address.substring(colon + 1)) > 65_535) {
            throw unusable(address == null ? null : "address", "address must be HOST:PORT");
        }
        Collector.Transport transport = Collector.Transport.valueOf(word("transport", "udp", "udp", "tcp", "tls").toUpperCase(Locale.ROOT));
        boolean datagrams = transport == Collector.Transport.UDP;
        if (datagrams && set.containsKey("framing")) {
            throw unusable("framing", "datagrams have none");
        }
        String framing = word("framing", "octets", "octets", "newline");
        if (transport == Collector.Transport.TLS && framing.equals("newline")) {
            throw unusable("framing", "TLS has octets (RFC 5425 4.3)");
        }
        int most = (int) whole("most_bytes", Message.LEAST, MOST_BYTES, datagrams ? DATAGRAM_BYTES : STREAM_BYTES);
        Collector.Tls tls = transport == Collector.Transport.TLS ? tls() : null;
        for (String key : List.of("trust_store", "trust_password_file", "key_store", "key_password_file", "check_name")) {
            if (tls == null && set.containsKey(key)) {
                throw unusable(key, "only for transport = tls");
            }
        }
        return new Collector(name, address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)), transport,
                datagrams ? Framing.DATAGRAM : Framing.valueOf(framing.toUpperCase(Locale.ROOT)), most, tls);
    }

    private Collector.Tls tls() throws Unusable {
        if (!set.containsKey("trust_store")) {
            throw unusable(null, "transport = tls needs a trust_store");
        }
        Collector.Tls tls = new Collector.Tls(file("trust_store"), file("trust_password_file"), file("key_store"), file("key_password_file"),
                flag("check_name", true));
        try {
            Keys.context(tls);
        } catch (java.io.IOException e) {
            throw unusable(String.valueOf(e.getMessage()).startsWith(String.valueOf(tls.keyStore())) ? "key_store" : "trust_store", e.getMessage());
        }
        return tls;
    }

    private Path file(String key) throws Unusable {
        String name = set.get(key);
        if (name == null) {
            return null;
        }
        Path path = path(key, name);
        if (!Files.isReadable(path)) {
            throw unusable(key, name + " cannot be read");
        }
        return path;
    }

    private Path path(String key, String name) throws Unusable {
        try {
            return Path.of(name);
        } catch (InvalidPathException e) {
            throw unusable(key, "no file's name: " + name);
        }
    }

    private String word(String key, String otherwise, String... words) throws Unusable {
        String word = set.getOrDefault(key, otherwise);
        if (!List.of(words).contains(word)) {
            throw unusable(key, word + " is none of " + String.join(", ", words));
        }
        return word;
    }

    private boolean flag(String key, boolean otherwise) throws Unusable {
        return word(key, otherwise ? "yes" : "no", "yes", "no").equals("yes");
    }

    private long whole(String key, long least, long most, long otherwise) throws Unusable {
        String text = set.getOrDefault(key, String.valueOf(otherwise));
        if (!text.matches("\\d{1,15}")) {
            throw unusable(key, "not a whole number: " + text);
        }
        long value = Long.parseLong(text);
        if (value < least || value > most) {
            throw unusable(key, text + " is not within " + least + " to " + most);
        }
        return value;
    }

    private long seconds(String key, double least, double most, double otherwise) throws Unusable {
        String text = set.getOrDefault(key, String.valueOf(otherwise));
        if (!text.matches("\\d{1,9}(\\.\\d{1,9})?")) {
            throw unusable(key, "not a number: " + text);
        }
        double value = Double.parseDouble(text);
        if (value < least || value > most) {
            throw unusable(key, text + " is not within " + least + " to " + most);
        }
        return (long) (value * SECOND);
    }

    private Unusable unusable(String key, String why) { return file.unusable(section, key, why); }
}
