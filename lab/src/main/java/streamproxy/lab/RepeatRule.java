package streamproxy.lab;

/** What a configuration says of repeats of a class's requests. */
public enum RepeatRule {
    /** They do no harm. */
    SAFE("safe", 0),
    /** All replicas drop them for a while. */
    KEYED("keyed", 1_000),
    /** Each does harm. */
    UNSAFE("unsafe", 0);

    private final String word;
    private final long windowMs;

    RepeatRule(String word, long windowMs) {
        this.word = word;
        this.windowMs = windowMs;
    }

    /** For so long after a sending another one does no harm, in ms; 0 where that is not bounded, or never so. */
    public long windowMs() { return windowMs; }

    /** Settings of one safe class, with this rule in place of that one. */
    String in(String settings) {
        return settings.replace("\"Idempotency\":\"safe\"", "\"Idempotency\":\"" + word + "\"").replace("\"Window\":0", "\"Window\":" + windowMs * 1_000_000);
    }
}
