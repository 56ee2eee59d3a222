package streamproxy.routing;

/** A hash of 64 bits that depends on a key, so that nobody who does not know it can choose texts that collide. */
final class KeyedHash {
    private KeyedHash() { }

    static long of(long key, String text) {
        long hash = key;
        for (int i = 0; i < text.length(); i++) {
            hash = mix(hash ^ text.charAt(i));
        }
        return hash;
    }

    /** The finalizer of MurmurHash3. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
