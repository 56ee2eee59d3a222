package streamproxy.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.zip.CRC32C;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.proto.RaftProtos.RaftConfigurationProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.raftlog.RaftLog;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.MD5FileUtil;
import org.tinylog.Logger;
import streamproxy.duties.Command;
import streamproxy.duties.Duty;
import streamproxy.duties.Ledger;
import streamproxy.duties.DivergenceCheck;
import streamproxy.duties.Result;

/**
 * The ledger upon the common log: commands in the log's order, snapshots with a schema version and a checksum. It knows
 * neither requests nor boxes.
 */
final class LedgerMachine extends BaseStateMachine {
    /** "SPFL", the first bytes of a snapshot; its checksum (CRC-32C of what follows) and its record come after. */
    private static final int MAGIC = 0x5350464c;
    private static final int HEAD = 8;

    /** Told of what was applied, in the log's order; it must not wait. */
    interface Applied {
        /**
         * @param ledger as it is now; only for this call
         * @param duties those that the commands were about; null where any may have changed, and who is in
         * @param at     the log's place that it is at
         */
        void applied(Ledger ledger, Set<String> duties, long at);

        /** The ledger came to that sum at that place, at which all members tell theirs. */
        void summed(long place, int sum);

        /** Another member asks something beside the log; the answer must not be waited for here. */
        CompletableFuture<byte[]> asked(byte[] question);

        /** Nothing more is applied here: whatever this member holds it holds by what it cannot know any more. */
        void stopped();
    }

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final Applied applied;
    private final Runnable membersAgreed;
    private final DivergenceCheck marks = new DivergenceCheck();
    private Ledger ledger = new Ledger();
    private String stuck; // why nothing more is applied; null: all is

    /** @param membersAgreed run when it is agreed, or half agreed, who the consensus' members are; it must not wait */
    LedgerMachine(Applied applied, Runnable membersAgreed) {
        this.applied = applied;
        this.membersAgreed = membersAgreed;
    }

    @Override public void notifyConfigurationChanged(long term, long index, RaftConfigurationProto members) { membersAgreed.run(); }

    @Override public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        super.initialize(server, group, raftStorage);
        storage.init(raftStorage);
        load(storage.loadLatestSnapshot());
    }

    @Override public void reinitialize() throws IOException { load(storage.loadLatestSnapshot()); }

    @Override public StateMachineStorage getStateMachineStorage() { return storage; }

    /** What cannot be read is refused before it is in the log: there it would stop every member. */
    @Override public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
        try {
            Codec.commands(request.getMessage().getContent().toByteArray());
        } catch (Codec.Unreadable e) {
            throw new IOException(e.getMessage());
        }
        return super.startTransaction(request);
    }

    @Override public CompletableFuture<Message> applyTransaction(TransactionContext context) {
        LogEntryProto entry = context.getLogEntry();
        TermIndex at = TermIndex.valueOf(entry);
        synchronized (this) {
            if (stuck != null) {
                return CompletableFuture.failedFuture(new IOException(stuck));
            }
            try {
                List<Command> commands = Codec.commands(entry.getStateMachineLogEntry().getLogData().toByteArray());
                List<Result> results = commands.stream().map(ledger::apply).toList();
                updateLastAppliedTermIndex(at);
                commands.forEach(this::compare);
                mark(at.getIndex());
                boolean any = commands.stream().anyMatch(c -> c instanceof Command.Open || c instanceof Command.Depart);
                applied.applied(ledger, any ? null : commands.stream().map(Command::duty).filter(Objects::nonNull).collect(Collectors.toSet()),
                        at.getIndex());
                return CompletableFuture.completedFuture(Message.valueOf(ByteString.copyFrom(Codec.answers(results))));
            } catch (Codec.Unreadable e) { // written by a newer program: what it changes cannot be known here
                stuck = "the common log at " + at + ": " + e.getMessage();
                Logger.error("{}; this member follows it no further, holds nothing and takes nothing", stuck);
                applied.stopped();
                return CompletableFuture.failedFuture(new IOException(stuck));
            }
        }
    }

    @Override public CompletableFuture<Message> queryStale(Message question, long minIndex) {
        return applied.asked(question.getContent().toByteArray()).thenApply(answer -> Message.valueOf(ByteString.copyFrom(answer)));
    }

    private void compare(Command command) {
        if (command instanceof Command.Mark mark) {
            marks.told(mark.from().member(), mark.place(), mark.sum());
            long apart = marks.apart(ledger.members().size());
            if (apart >= 0) {
                stuck = "the ledger here has gone apart from the others' by place " + apart + " of the common log";
                Logger.error("{}; this member follows it no further, holds nothing and takes nothing", stuck);
                applied.stopped();
            }
        }
    }

    private void mark(long place) {
        if (DivergenceCheck.due(place)) {
            int sum = sum(Codec.bytes(ledger.image()));
            marks.own(place, sum);
            applied.summed(place, sum);
        }
    }

    /** The duty as the ledger has it here now. */
    synchronized Duty duty(String name) { return ledger.duty(name); }

    /** Everything in the ledger now. */
    synchronized Ledger.Image image() { return ledger.image(); }

    /** The ledger in a number, and the log's place at which it is so: members at one place have the same, or have gone apart. */
    record Digest(long at, int sum) { }

    synchronized Digest digest() { return new Digest(getLastAppliedTermIndex().getIndex(), sum(Codec.bytes(ledger.image()))); }

    /** Why nothing more is applied; null where all is. */
    synchronized String stuck() { return stuck; }

    @Override public long takeSnapshot() throws IOException {
        TermIndex at;
        byte[] record;
        synchronized (this) {
            if (stuck != null) {
                return RaftLog.INVALID_LOG_INDEX;
            }
            at = getLastAppliedTermIndex();
            record = Codec.bytes(ledger.image());
        }
        Path file = storage.getSnapshotFile(at.getTerm(), at.getIndex()).toPath();
        ByteBuffer bytes = ByteBuffer.allocate(HEAD + record.length).putInt(MAGIC).putInt(sum(record)).put(record);
        DurableFiles.write(file, bytes.array());
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file, MD5FileUtil.computeAndSaveMd5ForFile(file.toFile())), at));
        return at.getIndex();
    }

    private synchronized void load(SingleFileSnapshotInfo snapshot) throws IOException {
        if (snapshot == null) {
            return;
        }
        ledger = new Ledger(read(snapshot.getFile().getPath()));
        setLastAppliedTermIndex(snapshot.getTermIndex());
        applied.applied(ledger, null, snapshot.getIndex());
    }

    /** What is in a snapshot; the message of what is thrown names the file and the offset. */
    static Ledger.Image read(Path file) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
        if (bytes.remaining() < HEAD || bytes.getInt() != MAGIC) {
            throw new IOException(file + ": offset 0: no snapshot of a fleet's ledger");
        }
        int sum = bytes.getInt();
        byte[] record = new byte[bytes.remaining()];
        bytes.get(record);
        if (sum(record) != sum) {
            throw new IOException(file + ": offset " + HEAD + ": the checksum of " + record.length + " bytes does not fit");
        }
        try {
            return Codec.image(record);
        } catch (Codec.Unreadable e) {
            throw new IOException(file + ": offset " + HEAD + ": " + e.getMessage());
        }
    }

    private static int sum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes);
        return (int) sum.getValue();
    }
}
