package streamproxy.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.proto.RaftProtos.RaftPeerRole;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.SetConfigurationRequest;
import org.apache.ratis.protocol.TransferLeadershipRequest;
import org.apache.ratis.protocol.exceptions.AlreadyClosedException;
import org.apache.ratis.protocol.exceptions.RaftException;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.rpc.CallId;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.DivisionInfo;
import org.apache.ratis.server.RaftConfiguration;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;
import org.tinylog.Logger;
import streamproxy.duties.Command;
import streamproxy.duties.Duty;
import streamproxy.duties.Ledger;
import streamproxy.duties.Result;

/**
 * This member's part in the consensus: the library's server with the {@link LedgerMachine} on it. A command goes straight to
 * the member that leads as far as is known here, and is answered on a thread of the library, or not at all: whoever sends
 * asks again. The library's own client would look for the leader by itself, one blocked thread for each command; while a
 * leader was silent they were all blocked.
 */
final class Ensemble implements AutoCloseable {
    /** Told what a command was answered, and its place in the log; not told where it was not, as far as is known here. */
    interface Answered {
        void answered(Command command, Result result, long at);
    }

    private static final int UNDER_WAY_MOST = 256;
    private static final long CHANGE_PATIENCE_NS = 30_000_000_000L;
    private static final long CHANGE_AGAIN_MS = 200;
    /** Questions beside the log are answered whatever of the log the member has seen, and though nobody leads. */
    private static final long NOTHING_SEEN = -1;
    private static final TimeDuration REQUEST = ms(1_000);
    /**
     * An election begins when the leader was silent for so long, or for a tenth of the lease where that is longer: a successor
     * waits a lease anyhow, and leaders are heard twice in that time. The library draws from that to its double.
     */
    private static final long ELECTION_LEAST_MS = 300;
    private static final long ELECTION_MOST_MS = 2_000;
    private static final int ELECTIONS_A_LEASE = 10;
    private static final long SNAPSHOT_EVERY = 20_000;
    private static final int SNAPSHOTS_KEPT = 2;
    private static final SizeInBytes SEGMENT = SizeInBytes.valueOf("4MB");
    private static final SizeInBytes PREALLOCATED = SizeInBytes.valueOf("256KB");

    private final RaftGroup group;
    private final RaftServer server;
    private final RaftClient client;
    private final RaftPeerId me;
    private final AtomicBoolean changing = new AtomicBoolean(); // who the members are
    private final LedgerMachine machine;
    private final AtomicInteger underWay = new AtomicInteger();
    private final AtomicLong unsent = new AtomicLong();
    private final AtomicLong unanswered = new AtomicLong();
    private final Map<RaftPeerId, Long> actedAt = new ConcurrentHashMap<>(); // on a failure, by System.nanoTime

    /** @param applied is told of each change of the ledger, as {@link LedgerMachine} says */
    Ensemble(FleetSettings settings, MemberDirectory folder, LedgerMachine.Applied applied) throws IOException {
        List<RaftPeer> peers = new ArrayList<>();
        for (Map.Entry<String, InetSocketAddress> member : settings.members().entrySet()) {
            boolean votes = settings.voters().contains(member.getKey());
            peers.add(RaftPeer.newBuilder().setId(member.getKey())
                    .setAddress(member.getValue().getHostString() + ":" + member.getValue().getPort())
                    .setStartupRole(votes ? RaftPeerRole.FOLLOWER : RaftPeerRole.LISTENER).build());
        }
        RaftGroupId id = RaftGroupId.valueOf(UUID.nameUUIDFromBytes(settings.id().getBytes(StandardCharsets.UTF_8)));
        // Who joins a fleet that runs is told by it who is in; with a list of its own it would call for elections.
        boolean joins = settings.joins() && folder.fresh();
        RaftGroup known = RaftGroup.valueOf(id, peers);
        group = joins ? RaftGroup.valueOf(id) : known;
        for (String mended : DiskCheck.of(folder.path().resolve("log").resolve(id.getUuid().toString()))) {
            Logger.warn("fleet: {}", mended);
        }
        machine = new LedgerMachine(applied, this::membersAgreed);
        RaftProperties properties = properties(settings, folder);
        me = RaftPeerId.valueOf(settings.name());
        server = RaftServer.newBuilder().setServerId(me).setGroup(group).setStateMachine(machine)
                .setOption(folder.fresh() ? RaftStorage.StartupOption.FORMAT : RaftStorage.StartupOption.RECOVER)
                .setProperties(properties).build();
        client = RaftClient.newBuilder().setRaftGroup(known).setProperties(properties)
                .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(3, ms(100))).build();
    }

    private static TimeDuration ms(long ms) { return TimeDuration.valueOf(ms, TimeUnit.MILLISECONDS); }

    private static RaftProperties properties(FleetSettings settings, MemberDirectory folder) {
        RaftProperties p = new RaftProperties();
        RaftConfigKeys.Rpc.setType(p, SupportedRpcType.GRPC);
        GrpcConfigKeys.Server.setHost(p, settings.listen().getHostString());
        GrpcConfigKeys.Server.setPort(p, settings.listen().getPort());
        RaftServerConfigKeys.setStorageDir(p, List.of(folder.path().resolve("log").toFile()));
        long share = TimeUnit.NANOSECONDS.toMillis(settings.terms().leaseNs()) / ELECTIONS_A_LEASE;
        long election = Math.max(ELECTION_LEAST_MS, Math.min(ELECTION_MOST_MS, share));
        RaftServerConfigKeys.Rpc.setTimeoutMin(p, ms(election));
        RaftServerConfigKeys.Rpc.setTimeoutMax(p, ms(2 * election));
        RaftServerConfigKeys.Rpc.setRequestTimeout(p, REQUEST);
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(p, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(p, SNAPSHOT_EVERY);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(p, SNAPSHOTS_KEPT);
        RaftServerConfigKeys.Log.setSegmentSizeMax(p, SEGMENT);
        RaftServerConfigKeys.Log.setPreallocatedSize(p, PREALLOCATED);
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(p, true);
        RaftClientConfigKeys.Rpc.setRequestTimeout(p, REQUEST);
        return p;
    }

    void start() throws IOException { server.start(); }

    void send(Command command, Answered then) { send(List.of(command), then); }

    /** Sends commands without waiting, to be done one after another in one place of the log; those for which there is no room or no leader are dropped and counted. */
    void send(List<Command> commands, Answered then) {
        RaftPeerId leader = leaderId();
        if (leader == null || underWay.incrementAndGet() > UNDER_WAY_MOST) {
            if (leader != null) {
                underWay.decrementAndGet();
            }
            unsent.addAndGet(commands.size());
            return;
        }
        long sentAt = System.nanoTime();
        // A copy, so that what completes late completes nothing of the library's own.
        ask(leader, commands).copy().orTimeout(REQUEST.getDuration(), REQUEST.getUnit()).whenComplete((reply, error) -> {
            underWay.decrementAndGet();
            if (error == null && reply.isSuccess()) {
                hand(commands, reply, then);
                return;
            }
            unanswered.addAndGet(commands.size());
            Logger.debug("fleet: {} was not answered by {}: {}", commands, leader, error == null ? reply.getException() : error);
            if (error != null) {
                failed(leader, error, sentAt);
            }
        });
    }

    private CompletableFuture<RaftClientReply> ask(RaftPeerId leader, List<Command> commands) {
        RaftClientRequest request = RaftClientRequest.newBuilder().setClientId(client.getId()).setServerId(leader)
                .setGroupId(group.getGroupId()).setCallId(CallId.getAndIncrement()).setType(RaftClientRequest.writeRequestType())
                .setMessage(Message.valueOf(ByteString.copyFrom(Codec.bytes(commands)))).build();
        try {
            if (leader.equals(me)) {
                return server.submitClientRequestAsync(request);
            }
            know(leader);
            return client.getClientRpc().sendRequestAsyncUnordered(request);
        } catch (IOException | RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /**
     * Asks that member something beside the log, on the way that commands go: the library calls it a stale read. The answer,
     * or a failure after {@link #REQUEST} at most.
     */
    CompletableFuture<byte[]> query(String member, byte[] question) {
        RaftPeerId peer = RaftPeerId.valueOf(member);
        long sentAt = System.nanoTime();
        RaftClientRequest request = RaftClientRequest.newBuilder().setClientId(client.getId()).setServerId(peer).setGroupId(group.getGroupId())
                .setCallId(CallId.getAndIncrement()).setType(RaftClientRequest.staleReadRequestType(NOTHING_SEEN))
                .setMessage(Message.valueOf(ByteString.copyFrom(question))).build();
        try {
            know(peer);
            return client.getClientRpc().sendRequestAsyncUnordered(request).copy().orTimeout(REQUEST.getDuration(), REQUEST.getUnit())
                    .whenComplete((reply, error) -> {
                        if (error != null) {
                            failed(peer, error, sentAt);
                        }
                    }).thenCompose(reply -> reply.isSuccess() ? CompletableFuture.completedFuture(reply.getMessage().getContent().toByteArray())
                            : CompletableFuture.failedFuture(reply.getException()));
        } catch (IOException | RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** One that joined later is not among those that the client was made with. */
    private void know(RaftPeerId other) throws IOException {
        RaftPeer peer = server.getDivision(group.getGroupId()).getRaftConf().getPeer(other);
        if (peer != null) {
            client.getClientRpc().addRaftPeers(peer);
        }
    }

    private static void hand(List<Command> commands, RaftClientReply reply, Answered then) {
        try {
            List<Result> results = Codec.results(reply.getMessage().getContent().toByteArray());
            for (int i = 0; i < Math.min(commands.size(), results.size()); i++) {
                then.answered(commands.get(i), results.get(i), reply.getLogIndex());
            }
        } catch (Codec.Unreadable e) {
            Logger.warn("fleet: {}", e.getMessage());
        } catch (RuntimeException e) {
            Logger.error(e, "fleet: the answer to {} was lost", commands);
        }
    }

    /**
     * What was sent to that member at that time has failed; acted on once for all that was under way. Another's connection may
     * be dead without a word, or closed: the library goes on using one that is closed, and each command in it fails at once.
     * If it is this member that leads and does not answer, it does not hear a majority: the library would see that too, but
     * only where nothing is asked of it for some hundred milliseconds, and leases ask again sooner.
     */
    private void failed(RaftPeerId member, Throwable error, long sentAt) {
        Throwable why = error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
        boolean answered = why instanceof RaftException && !(why instanceof AlreadyClosedException);
        Long last = actedAt.putIfAbsent(member, sentAt - 1);
        long before = last == null ? sentAt - 1 : last;
        if (answered || sentAt - before <= 0 || !actedAt.replace(member, before, System.nanoTime())) {
            return;
        }
        if (!member.equals(me)) {
            Logger.debug("fleet: a new connection to {} after {}", member, why);
            client.getClientRpc().handleException(member, why, true);
            return;
        }
        if (!(why instanceof TimeoutException)) {
            return;
        }
        Logger.warn("fleet: {} leads and hears no majority; it leads no more", me);
        stopLeading();
    }

    /** Whoever leads next begins as a new leader does; it may be this member. */
    private void stopLeading() {
        try {
            server.transferLeadershipAsync(new TransferLeadershipRequest(client.getId(), me, group.getGroupId(), CallId.getAndIncrement(),
                    null, REQUEST.toLong(TimeUnit.MILLISECONDS)));
        } catch (IOException | RuntimeException e) {
            Logger.warn("fleet: {} could not stop leading: {}", me, e.toString());
        }
    }

    /**
     * The members that were agreed on are known here. A leader of the library that was elected while a change which leaves a
     * member out was half agreed on goes on sending to that one for as long as it leads. If the member comes back it follows a
     * fleet that it is not in, closes its part in the consensus for good when it would be heard, and cannot be taken in: the
     * leader fails at its doubled sender, and then at the request that it never answered. So such a leader leads no more.
     */
    private void membersAgreed() {
        try {
            RaftConfiguration known = server.getDivision(group.getGroupId()).getRaftConf();
            List<RaftPeerId> strangers = info().getRoleInfoProto().getLeaderInfo().getFollowerInfoList().stream()
                    .map(follower -> RaftPeerId.valueOf(follower.getId().getId()))
                    .filter(id -> known.getPeer(id, RaftPeerRole.FOLLOWER, RaftPeerRole.LISTENER) == null).toList();
            if (!strangers.isEmpty() && !isHalfAgreed(known)) {
                Logger.info("fleet: {} leads and sends to {}, which left as it was elected; it leads no more", me, strangers);
                stopLeading();
            }
        } catch (IOException e) {
            Logger.debug(e, "fleet: it no longer leads, or is closed");
        }
    }

    private RaftPeerId leaderId() {
        try {
            return info().getLeaderId();
        } catch (IOException e) {
            return null; // not started yet, or closed
        }
    }

    /**
     * Has the consensus take that member in, as one that follows or one that votes too; one that is in is moved there. It
     * comes back at once: {@link #peers} tells when it is done.
     *
     * @return false where another change that began here is under way
     */
    boolean join(String member, String address, boolean votes) {
        return change((voters, followers) -> {
            RaftPeer peer = RaftPeer.newBuilder().setId(member).setAddress(address)
                    .setStartupRole(votes ? RaftPeerRole.FOLLOWER : RaftPeerRole.LISTENER).build();
            voters.remove(member);
            followers.remove(member);
            (votes ? voters : followers).put(member, peer);
        });
    }

    /** Has the consensus let a member go; the same. */
    boolean leave(String member) {
        return change((voters, followers) -> {
            voters.remove(member);
            followers.remove(member);
        });
    }

    private boolean change(BiConsumer<Map<String, RaftPeer>, Map<String, RaftPeer>> how) {
        if (!changing.compareAndSet(false, true)) {
            return false;
        }
        Thread thread = new Thread(null, () -> {
            try {
                untilChanged(how);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                changing.set(false);
            }
        }, "fleet members", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return true;
    }

    /**
     * Asks whoever leads until it is so. Each asking goes straight to that one and is given up after {@link #REQUEST}: the
     * library's client would look for a leader by itself for as long as it likes. Asked again while the change is under way
     * it is refused, and asked again.
     */
    private void untilChanged(BiConsumer<Map<String, RaftPeer>, Map<String, RaftPeer>> how) throws InterruptedException {
        long by = System.nanoTime() + CHANGE_PATIENCE_NS;
        String why;
        do {
            RaftPeerId leader = leaderId();
            long askedAt = System.nanoTime();
            try {
                Map<String, RaftPeer> voters = named(RaftPeerRole.FOLLOWER);
                Map<String, RaftPeer> followers = named(RaftPeerRole.LISTENER);
                Set<String> before = told(voters, followers);
                how.accept(voters, followers);
                if (told(voters, followers).equals(before)) {
                    Logger.info("fleet: the members are changed: {} vote, {} follow", voters.keySet(), followers.keySet());
                    return;
                }
                why = leader == null ? "nobody leads" : changed(leader, voters.values(), followers.values());
            } catch (ExecutionException e) {
                why = String.valueOf(e.getCause());
            } catch (IOException | RuntimeException | TimeoutException e) {
                why = e.toString();
                if (leader != null && !leader.equals(me)) { // here, whoever joins may only be slow to catch up
                    failed(leader, e, askedAt);
                }
            }
            TimeUnit.MILLISECONDS.sleep(CHANGE_AGAIN_MS);
        } while (System.nanoTime() < by);
        Logger.warn("fleet: the members were not changed: {}", why);
    }

    private static Set<String> told(Map<String, RaftPeer> voters, Map<String, RaftPeer> followers) {
        Set<String> all = new TreeSet<>();
        voters.values().forEach(peer -> all.add(peer.getId() + " votes at " + peer.getAddress()));
        followers.values().forEach(peer -> all.add(peer.getId() + " follows at " + peer.getAddress()));
        return all;
    }

    /** Asks that one once; why not, where it is not so yet. */
    private String changed(RaftPeerId leader, Collection<RaftPeer> voters, Collection<RaftPeer> followers)
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        SetConfigurationRequest request = new SetConfigurationRequest(client.getId(), leader, group.getGroupId(), CallId.getAndIncrement(),
                List.copyOf(voters), List.copyOf(followers));
        RaftClientReply reply;
        if (leader.equals(me)) {
            reply = server.setConfigurationAsync(request).get(REQUEST.getDuration(), REQUEST.getUnit());
        } else {
            know(leader);
            reply = client.getClientRpc().sendRequest(request);
        }
        return reply.isSuccess() ? "not seen here yet" : String.valueOf(reply.getException());
    }

    /** Those that were agreed on last: while a change is half agreed on, who was in before it still is. */
    private Map<String, RaftPeer> named(RaftPeerRole role) throws IOException {
        Map<String, RaftPeer> named = new TreeMap<>();
        RaftConfiguration known = server.getDivision(group.getGroupId()).getRaftConf();
        (isHalfAgreed(known) ? known.getPreviousPeers(role) : known.getCurrentPeers(role)).forEach(p -> named.put(p.getId().toString(), p));
        return named;
    }

    private static boolean isHalfAgreed(RaftConfiguration known) { return !known.getPreviousPeers().isEmpty(); }

    /** Whether a change of the members is half agreed on, as far as is known here: done or undone only with both majorities. */
    boolean isChanging() throws IOException { return isHalfAgreed(server.getDivision(group.getGroupId()).getRaftConf()); }

    /** Who is in the consensus, as far as is known here: names, and whether each votes; a change shows once it is agreed on. */
    Map<String, Boolean> peers() throws IOException {
        Map<String, Boolean> peers = new TreeMap<>();
        named(RaftPeerRole.FOLLOWER).keySet().forEach(name -> peers.put(name, true));
        named(RaftPeerRole.LISTENER).keySet().forEach(name -> peers.put(name, false));
        return peers;
    }

    /** Commands for which there was no room or no leader. */
    long unsent() { return unsent.get(); }

    /** Commands that were sent and not answered. */
    long unanswered() { return unanswered.get(); }

    Duty duty(String name) { return machine.duty(name); }

    Ledger.Image image() { return machine.image(); }

    LedgerMachine.Digest digest() { return machine.digest(); }

    /** Why this member follows the common log no further; null where it does. */
    String stuck() { return machine.stuck(); }

    /** The member that leads, as far as is known here; empty where none is known. */
    String leader() throws IOException {
        RaftPeerId leader = info().getLeaderId();
        return leader == null ? "" : leader.toString();
    }

    DivisionInfo info() throws IOException { return server.getDivision(group.getGroupId()).getInfo(); }

    @Override public void close() throws IOException {
        client.close();
        server.close();
    }
}
