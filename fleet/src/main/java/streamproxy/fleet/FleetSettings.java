package streamproxy.fleet;

import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import streamproxy.duties.LeaseTimes;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.protocol.OperatorFile;

/**
 * What {@code [fleet]} of the operator's file says.
 *
 * @param id      the fleet's name; members of another are not heard
 * @param members all of them, with where each listens
 * @param duties  names of duties that the installation's own programs ask for, at {@code /admin/fleet/duty/NAME}
 * @param joins   whether this member comes to a fleet that runs, and waits to be taken in (only with a new folder)
 * @param turnWaitS how long a router that is to leave waits for its turn, in seconds
 * @param ownership whether model boxes are divided among the members that live, not by the deployment's number of routers
 * @param zone    within which turns to leave are taken; empty where all are in one
 * @param turns   how many of a zone may leave at a time
 * @param sharesList whether one member of each zone holds the watch of the box list for the others
 * @param voters  those whose majority decides, three or five; the others follow
 */
record FleetSettings(String id, String name, Map<String, InetSocketAddress> members, List<String> voters, Path folder, LeaseTimes terms,
        List<String> duties, double turnWaitS, boolean joins, boolean ownership, String zone, int turns, boolean sharesList) {
    private static final String SECTION = OperatorFile.FLEET;
    private static final double LEASE_LEAST_S = 0.5;
    private static final double LEASE_MOST_S = 600;
    private static final double LEASE_S = 3;
    private static final double DRIFT_MOST_PPM = 100_000;
    private static final double DRIFT_PPM = 1_000;
    private static final int VOTERS = 3;
    private static final double TURN_WAIT_S = 10;
    private static final double TURNS_MOST = 10;

    FleetSettings {
        members = Map.copyOf(members);
        voters = List.copyOf(voters);
        duties = List.copyOf(duties);
    }

    /** The duties of which one is a turn to leave. */
    List<String> turnsToLeave() {
        String turn = "turn to leave" + (zone.isEmpty() ? "" : " " + zone);
        return IntStream.range(0, turns).mapToObj(i -> turn + (i == 0 ? "" : " " + (i + 1))).toList();
    }

    /** The duty whose holder watches the box list for its zone. */
    String listWatch() { return "list watch" + (zone.isEmpty() ? "" : " " + zone); }

    InetSocketAddress listen() { return members.get(name); }

    /**
     * Reads and checks the section.
     *
     * @param node the router's own name, which the section's {@code name} overrides
     */
    static FleetSettings read(OperatorFile file, String node) throws Unusable {
        Map<String, String> set = file.section(SECTION);
        if (set == null) {
            throw new Unusable("the operator's file has no [fleet]; streamproxy serve runs a router alone");
        }
        String id = need(file, set, "id");
        String name = set.getOrDefault("name", node);
        if (name == null || name.isEmpty()) {
            throw file.unusable(SECTION, "name", "must be set where NODE_NAME is not");
        }
        Map<String, InetSocketAddress> members = members(file, need(file, set, "members"));
        if (!members.containsKey(name)) {
            throw file.unusable(SECTION, "members", name + ", which is this router's name, is not among them");
        }
        List<String> voters = voters(file, set, members);
        Path folder;
        try {
            folder = Path.of(need(file, set, "folder")).toAbsolutePath();
        } catch (InvalidPathException e) {
            throw file.unusable(SECTION, "folder", "no path: " + e.getMessage());
        }
        double leaseS = number(file, set, "lease_s", LEASE_LEAST_S, LEASE_MOST_S, LEASE_S);
        double drift = number(file, set, "drift_ppm", 0, DRIFT_MOST_PPM, DRIFT_PPM);
        double actMs = number(file, set, "act_ms", 0, leaseS * 1e3 / 4, Math.min(100, leaseS * 1e3 / 10));
        List<String> duties = Arrays.stream(set.getOrDefault("duties", "").split(",")).map(String::strip).filter(d -> !d.isEmpty()).toList();
        for (String duty : duties) {
            if (!duty.matches("[A-Za-z0-9._-]{1,64}") || Collections.frequency(duties, duty) > 1) {
                throw file.unusable(SECTION, "duties", duty + " is no name of letters, digits, '.', '_' and '-', or stands there twice");
            }
        }
        boolean joins = yes(file, set, "joins", "no");
        boolean ownership = yes(file, set, "ownership", "yes");
        double turnWait = number(file, set, "turn_wait_s", 0, 3_600, TURN_WAIT_S);
        String zone = set.getOrDefault("zone", "");
        if (!zone.matches("[A-Za-z0-9._-]{0,64}")) {
            throw file.unusable(SECTION, "zone", zone + " is no name of letters, digits, '.', '_' and '-'");
        }
        double turns = number(file, set, "turns", 1, TURNS_MOST, 1);
        if (turns != Math.rint(turns)) {
            throw file.unusable(SECTION, "turns", "not a whole number: " + set.get("turns"));
        }
        return new FleetSettings(id, name, members, voters, folder, new LeaseTimes((long) (leaseS * 1e9), (int) drift, (long) (actMs * 1e6)),
                duties, turnWait, joins, ownership, zone, (int) turns, yes(file, set, "shares_list", "yes"));
    }

    private static boolean yes(OperatorFile file, Map<String, String> set, String key, String otherwise) throws Unusable {
        String said = set.getOrDefault(key, otherwise);
        if (!said.equals("yes") && !said.equals("no")) {
            throw file.unusable(SECTION, key, "not yes or no: " + said);
        }
        return said.equals("yes");
    }

    private static String need(OperatorFile file, Map<String, String> set, String key) throws Unusable {
        String value = set.get(key);
        if (value == null || value.isEmpty()) {
            throw file.unusable(SECTION, set.containsKey(key) ? key : null, key + " must be set");
        }
        return value;
    }

    private static Map<String, InetSocketAddress> members(OperatorFile file, String text) throws Unusable {
        Map<String, InetSocketAddress> members = new LinkedHashMap<>();
        for (String one : text.split(",")) {
            String[] words = one.strip().split("\\s+");
            int colon = words.length == 2 ? words[1].lastIndexOf(':') : -1;
            int port;
            try {
                port = colon > 0 ? Integer.parseInt(words[1].substring(colon + 1)) : -1;
            } catch (NumberFormatException e) {
                port = -1;
            }
            if (port < 1 || port > 65_535) {
                throw file.unusable(SECTION, "members", "not NAME HOST:PORT: " + one.strip());
            }
            if (members.put(words[0], InetSocketAddress.createUnresolved(words[1].substring(0, colon), port)) != null) {
                throw file.unusable(SECTION, "members", words[0] + " stands there twice");
            }
        }
        return members;
    }

    private static List<String> voters(OperatorFile file, Map<String, String> set, Map<String, InetSocketAddress> members) throws Unusable {
        List<String> voters = new ArrayList<>();
        if (set.containsKey("voters")) {
            for (String one : set.get("voters").split(",")) {
                if (!members.containsKey(one.strip()) || voters.contains(one.strip())) {
                    throw file.unusable(SECTION, "voters", one.strip() + (voters.contains(one.strip()) ? " stands there twice" : " is no member"));
                }
                voters.add(one.strip());
            }
        } else {
            members.keySet().stream().limit(VOTERS).forEach(voters::add);
        }
        if (voters.size() != 1 && voters.size() != 3 && voters.size() != 5) {
            throw file.unusable(SECTION, set.containsKey("voters") ? "voters" : "members", voters.size() + " voters, not 1, 3 or 5");
        }
        return voters;
    }

    private static double number(OperatorFile file, Map<String, String> set, String key, double least, double most, double otherwise)
            throws Unusable {
        String text = set.get(key);
        if (text == null) {
            return otherwise;
        }
        double value;
        try {
            value = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw file.unusable(SECTION, key, "not a number: " + text);
        }
        if (!(value >= least && value <= most)) {
            throw file.unusable(SECTION, key, text + " is not within " + least + " to " + most);
        }
        return value;
    }
}
