package streamproxy.protocol;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a router is told at its start, by its environment and the file that it names.
 *
 * @param operator where operators call, from the file's {@code operator} or else {@code NODE_OPERATOR}; null where
 *                 neither says, and then nobody is listened to there
 * @param shared   the folder that all processes of this router have in common, from {@code TMPDIR}; null where there is none
 */
public record NodeConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets, int memoryMb,
        EndpointEntry.News known, String settings, InetSocketAddress operator, Path shared) {
    private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

    private static final int READ_TRIES = 40;
    private static final long READ_PAUSE_MS = 50;

    /** What the router was told cannot be used; the message says why in one line. */
    public static final class Unusable extends Exception {
        private static final long serialVersionUID = 1L;

        public Unusable(String why) { super(why); }
    }

    public static NodeConfig read(Map<String, String> environment) throws Unusable {
        Map<String, Object> config = file(environment);
        String settings = settings(config);
        Map<String, Object> limits = Json.object(config.get("limits"));
        double sockets = Json.number(limits.get("sockets"), 1024);
        double memory = Json.number(limits.get("memory_mb"), 192);
        return new NodeConfig(need(environment, "NODE_NAME"), address("NODE_LISTEN", need(environment, "NODE_LISTEN")),
                address("NODE_DISCOVERY", need(environment, "NODE_DISCOVERY")), seed(config.get("seed")),
                (int) sockets, (int) memory, known(config), settings, operator(config, environment), shared(environment));
    }

    /** The list as entries: as text or as JSON it would take many times as much for as long as the process runs. */
    private static EndpointEntry.News known(Map<String, Object> config) throws Unusable {
        try {
            return EndpointEntry.news(config.get("known"));
        } catch (IllegalArgumentException e) {
            throw new Unusable("NODE_CONFIG: known: " + e.getMessage());
        }
    }

    private static InetSocketAddress operator(Map<String, Object> config, Map<String, String> environment) throws Unusable {
        if (config.get("operator") != null) {
            return address("NODE_CONFIG: operator", Json.string(config.get("operator"), ""));
        }
        String told = environment.get("NODE_OPERATOR");
        return told == null || told.isBlank() ? null : address("NODE_OPERATOR", told.strip());
    }

    private static Path shared(Map<String, String> environment) {
        String told = environment.get("TMPDIR");
        try {
            return told == null || told.isBlank() ? null : Path.of(told);
        } catch (InvalidPathException e) {
            return null; // it is not one of the router's own settings: serving goes on without
        }
    }

    /**
     * The file that the environment names, read anew.
     *
     * @param discovery the box list's address, which a reload may move
     * @param settings  as in {@link NodeConfig}; a file without them cannot be used, but a caller may tell none (null)
     */
    public record Again(InetSocketAddress discovery, String settings) { }

    public static Again again(Map<String, String> environment) throws Unusable {
        Map<String, Object> config = file(environment);
        Object told = config.get("discovery");
        return new Again(address("NODE_CONFIG: discovery", Json.string(told, "")), settings(config));
    }

    private static String settings(Map<String, Object> config) throws Unusable {
        if (!(config.get("settings") instanceof Map)) {
            throw new Unusable("NODE_CONFIG: no settings");
        }
        StringBuilder settings = new StringBuilder();
        flatten("", config.get("settings"), settings);
        return settings.toString();
    }

    private static Map<String, Object> file(Map<String, String> environment) throws Unusable {
        String file = need(environment, "NODE_CONFIG");
        try {
            return Json.object(Json.parse(read(Path.of(file))));
        } catch (IOException | InvalidPathException e) {
            throw new Unusable("NODE_CONFIG: cannot read " + file);
        } catch (Json.Malformed e) {
            throw new Unusable("NODE_CONFIG: " + e.getMessage());
        }
    }

    /** Reads it, again and again for a while where the machine is short of descriptors. */
    private static String read(Path file) throws IOException {
        for (int tries = 1;; tries++) {
            try {
                return Files.readString(file);
            } catch (NoSuchFileException | AccessDeniedException | CharacterCodingException e) {
                throw e; // that does not pass
            } catch (IOException e) {
                if (tries == READ_TRIES) {
                    throw e;
                }
                pause();
            }
        }
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(READ_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException();
        }
    }

    private static String need(Map<String, String> environment, String name) throws Unusable {
        String value = environment.get(name);
        if (value == null || value.isBlank()) {
            throw new Unusable(name + " is not set");
        }
        return value.strip();
    }

    private static InetSocketAddress address(String name, String text) throws Unusable {
        try {
            return address(text);
        } catch (IllegalArgumentException e) {
            throw new Unusable(name + ": not an address and port: " + text);
        }
    }

    /** An address and port as in {@code 10.0.0.4:8081}; names are not looked up. */
    public static InetSocketAddress address(String text) {
        Matcher parts = ADDRESS.matcher(text);
        if (!parts.matches()) {
            throw new IllegalArgumentException("not an address and port: " + text);
        }
        byte[] host = new byte[4];
        for (int i = 0; i < host.length; i++) {
            int part = Integer.parseInt(parts.group(i + 1));
            if (part > 255) {
                throw new IllegalArgumentException("not an address and port: " + text);
            }
            host[i] = (byte) part;
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(host), Integer.parseInt(parts.group(5)));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e); // only for a length that is none of an address's
        }
    }

    private static long seed(Object value) throws Unusable {
        String text = Json.string(value, "0");
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new Unusable("NODE_CONFIG: seed is not hexadecimal: " + text);
        }
    }

    /** Nested settings as path=value lines, the form in which the simulator gives them. */
    static void flatten(String path, Object value, StringBuilder to) {
        if (value instanceof Map) {
            for (Map.Entry<String, Object> e : Json.object(value).entrySet()) {
                flatten(path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), to);
            }
        } else if (value instanceof List) {
            List<Object> items = Json.list(value);
            if (items.stream().anyMatch(i -> i instanceof Map)) {
                line(path + ".count", String.valueOf(items.size()), to);
                for (int i = 0; i < items.size(); i++) {
                    flatten(path + "." + i, items.get(i), to);
                }
            } else {
                StringBuilder joined = new StringBuilder();
                for (Object item : items) {
                    joined.append(joined.length() > 0 ? "," : "").append(word(item));
                }
                line(path, joined.toString(), to);
            }
        } else {
            line(path, word(value), to);
        }
    }

    private static String word(Object value) {
        return value == null ? "" : value.toString().replaceAll("[\\s,]", "_");
    }

    private static void line(String path, String value, StringBuilder to) {
        to.append(path).append('=').append(value).append('\n');
    }
}
