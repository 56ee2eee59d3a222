package streamproxy.lab.faults;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;

/**
 * Makes system calls of one process fail while it runs, by a library that is loaded into it (src/main/c/faults.c). The
 * process is started with {@link #environment}; faults are switched through a file that both sides map.
 */
public final class FaultInjector {
    private static final Path LIBRARY = Path.of("target", "libfaults.so");
    /** A slot of the file: four numbers of 4 bytes, two of 8. */
    private static final int SLOT_BYTES = 32;
    private static final int ERROR = 0;
    private static final int MOST = 4;
    private static final int DELAY = 8;
    private static final int EVERY = 12;
    private static final int HITS = 24;
    private static final VarHandle INT = MethodHandles.byteBufferViewVarHandle(int[].class, ByteOrder.nativeOrder());
    private static final VarHandle LONG = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final Path library;
    private final Path file;
    private final ByteBuffer slots;

    /** @param file is made anew, and read by the process that it is for */
    public FaultInjector(Path file) throws IOException {
        library = library();
        this.file = file.toAbsolutePath();
        Files.write(this.file, new byte[SystemCall.values().length * SLOT_BYTES]);
        try (FileChannel channel = FileChannel.open(this.file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer mapped = channel.map(FileChannel.MapMode.READ_WRITE, 0, channel.size());
            slots = mapped.order(ByteOrder.nativeOrder());
        }
    }

    /** The library as the build made it, seen from the module's folder or from the root. */
    private static Path library() throws IOException {
        for (Path path : new Path[] {LIBRARY, Path.of("lab").resolve(LIBRARY)}) {
            if (Files.exists(path)) {
                return path.toAbsolutePath();
            }
        }
        throw new IOException("no " + LIBRARY + ": the build of lab makes it, with the system's C compiler");
    }

    /** What a process is started with that is to meet faults. */
    public Map<String, String> environment() { return Map.of("LD_PRELOAD", library.toString(), "STREAMPROXY_FAULTS", file.toString()); }

    /** From now on calls of that kind meet the fault, in place of any before. */
    public void begin(SystemCall call, Fault fault) {
        end(call);
        int at = call.ordinal() * SLOT_BYTES;
        INT.setVolatile(slots, at + ERROR, fault.errno().number());
        INT.setVolatile(slots, at + MOST, fault.most());
        INT.setVolatile(slots, at + DELAY, fault.delayMs());
        INT.setVolatile(slots, at + EVERY, fault.every());
    }

    /** Calls of that kind are made as they are again. */
    public void end(SystemCall call) { INT.setVolatile(slots, call.ordinal() * SLOT_BYTES + EVERY, 0); }

    /** Ends all faults. */
    public void endAll() {
        for (SystemCall call : SystemCall.values()) {
            end(call);
        }
    }

    /** How many calls of that kind have met a fault so far. */
    public long hits(SystemCall call) { return (long) LONG.getVolatile(slots, call.ordinal() * SLOT_BYTES + HITS); }
}
