package streamproxy.duties;

/** What the ledger answers to a command. */
public sealed interface Result {
    /** Done. */
    record Done() implements Result { }

    /**
     * The duty is the asker's.
     *
     * @param fence what each of its acts bears
     * @param clean whether the holder before said that it had stopped, or there was none
     */
    record Granted(long fence, boolean clean) implements Result { }

    /** Not done, and why. */
    record Refused(Why why) implements Result { }

    /** Why not. */
    enum Why {
        /** The session is not the member's newest, or the member is not in. */
        NO_SESSION,
        /** The member is known by another folder. */
        OTHER_FOLDER,
        /** The fleet reckons leases by other terms. */
        OTHER_TERMS,
        /** The duty is not as it was seen, or not the asker's. */
        CHANGED,
        /** The command's answer is not known any more. */
        TOO_OLD,
        /** There is no such member. */
        NO_MEMBER
    }
}
