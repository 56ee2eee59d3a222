package streamproxy.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import streamproxy.decision.Routing;
import streamproxy.decision.Routing.Health;
import streamproxy.decision.Routing.ListForm;
import streamproxy.decision.SettingsText;
import streamproxy.protocol.EndpointEntry;

/**
 * The endpoints as their list told of them last, which it passes on to the replicas. A change that fails part of the way may
 * be taken once more, whole. Not thread-safe.
 */
final class EndpointTable {
    private final Map<Long, EndpointEntry> known = new HashMap<>();
    private final Map<Long, String> states = new HashMap<>(); // for records alone
    private final ReplicaDispatcher replicas;
    private final SettingsText.Deployment deployment;
    private final Clock clock;
    private final Records records;

    EndpointTable(ReplicaDispatcher replicas, SettingsText.Deployment deployment, Clock clock, Records records) {
        this.replicas = replicas;
        this.deployment = deployment;
        this.clock = clock;
        this.records = records;
    }

    boolean contains(long id) { return known.containsKey(id); }

    boolean isEmpty() { return known.isEmpty(); }

    int size() { return known.size(); }

    /** Its name in the list; a dash for one that is not known. */
    String uid(long id) {
        EndpointEntry entry = known.get(id);
        return entry == null ? "-" : entry.uid();
    }

    /** All that are known, as the policy is told of them. */
    List<Routing.Endpoint> all() { return known.values().stream().map(this::endpoint).toList(); }

    /**
     * Takes what a list tells.
     *
     * @param kept uids of endpoints that stay as they were
     * @return the same as the policy is told of it
     */
    List<Routing.Endpoint> take(ListForm form, List<EndpointEntry> told, List<String> kept) {
        List<EndpointEntry> entries = withKept(told, kept);
        bindDrains(entries);
        EndpointChanges changes = new EndpointChanges();
        List<Routing.Endpoint> endpoints = new ArrayList<>(entries.size());
        for (EndpointEntry entry : entries) {
            take(entry, changes);
            endpoints.add(endpoint(entry));
        }
        if (form == ListForm.FULL || form == ListForm.CACHED) {
            dropAllBut(entries, changes);
        }
        changes.log();
        records.list(form.name().toLowerCase(Locale.ROOT), told.size(), known.size());
        return endpoints;
    }

    private List<EndpointEntry> withKept(List<EndpointEntry> told, List<String> kept) {
        List<EndpointEntry> entries = new ArrayList<>(told);
        for (String uid : kept) {
            EndpointEntry before = known.get(EndpointEntry.id(uid));
            if (before != null) {
                entries.add(before);
            }
        }
        return entries;
    }

    /** First, whatever fails behind it: nothing new is sent to what is told draining or gone. */
    private void bindDrains(List<EndpointEntry> entries) {
        for (EndpointEntry entry : entries) {
            long id = entry.id();
            if (healthOf(entry) != Health.READY && known.containsKey(id)) {
                replicas.told(id, entry, false);
            }
        }
    }

    private void take(EndpointEntry entry, EndpointChanges changes) {
        long id = entry.id();
        EndpointEntry before = known.get(id);
        Health health = healthOf(entry);
        changes.note(entry.uid(), healthOf(before), health);
        if (health == Health.GONE) {
            drop(id, entry.uid());
            return;
        }
        known.put(id, entry.equals(before) ? before : entry);
        note(id, entry.uid(), entry.endpoint(), health == Health.READY ? "ready" : "draining");
        replicas.told(id, entry, health == Health.READY);
    }

    /** What a full list does not name is gone. */
    private void dropAllBut(List<EndpointEntry> entries, EndpointChanges changes) {
        Set<Long> named = new HashSet<>();
        entries.forEach(entry -> named.add(entry.id()));
        for (long id : List.copyOf(known.keySet())) {
            if (!named.contains(id)) {
                EndpointEntry dropped = known.get(id);
                changes.note(dropped.uid(), healthOf(dropped), Health.GONE);
                drop(id, dropped.uid());
            }
        }
    }

    private void drop(long id, String uid) {
        replicas.gone(id);
        note(id, uid, null, "gone");
        known.remove(id);
    }

    private void note(long id, String uid, Object endpoint, String state) {
        if (!records.on()) {
            return;
        }
        boolean isGone = state.equals("gone");
        String before = isGone ? states.remove(id) : states.put(id, state);
        if (!state.equals(before) && !(isGone && before == null)) {
            records.box(uid, endpoint, state, "");
        }
    }

    private Routing.Endpoint endpoint(EndpointEntry entry) {
        return new Routing.Endpoint(entry.id(), entry.weight(), index(deployment.centres(), entry.centre()), entry.cell(),
                clock.at(entry.bootMs()), index(deployment.kinds(), entry.kind()), healthOf(entry));
    }

    private static int index(List<String> names, String name) { return Math.max(0, names.indexOf(name)); }

    /** What may be sent there by that entry; an endpoint that is not listed, null, is gone. */
    private static Health healthOf(EndpointEntry entry) {
        if (entry == null || entry.isGone() || entry.endpoint() == null) {
            return Health.GONE;
        }
        return entry.isReady() ? Health.READY : Health.DRAINING;
    }
}
