package streamproxy.decision;

/**
 * Whether an attempt may begin at an endpoint that the list calls ready: on the list's word while that is confirmed, else
 * only where the endpoint has answered a probe well lately. A replica that drains answers probes with 503, so one that
 * answered well began to drain later than it was asked.
 *
 * <p>A host that never tells a lease is one whose list is always confirmed.
 */
final class EndpointTrust {
    /** An endpoint that has proved nothing. */
    static final long NEVER_PROVEN = Long.MIN_VALUE;

    private Routing.ListLease lease = new Routing.ListLease(Long.MAX_VALUE, Long.MAX_VALUE, 0);
    private boolean lapsed;
    private long lapsedAt;
    private long sentOnProof;

    void renew(Routing.ListLease told) { lease = told; }

    /** Whether the list's word is enough now. */
    boolean isConfirmed(long now) { return now < lease.listUntil(); }

    /** Whether an attempt may begin now at an endpoint that proved at that time to be ready. */
    boolean allows(long now, long provenAt) { return now < until(provenAt); }

    /** Until when attempts may begin there, by what is known now. */
    long until(long provenAt) {
        boolean counts = provenAt != NEVER_PROVEN && provenAt >= lease.provenSince();
        return counts ? Math.max(lease.listUntil(), provenUntil(provenAt)) : lease.listUntil();
    }

    private long provenUntil(long provenAt) {
        long until = provenAt + lease.provenForNs();
        for (Cutoff cutoff : lease.cutoffs()) {
            if (provenAt < cutoff.clearedBy()) {
                return Math.min(until, cutoff.until());
            }
        }
        return until;
    }

    /** An attempt begins. */
    void sent(long now) { sentOnProof += isConfirmed(now) ? 0 : 1; }

    /** Reports to the host where the list's lease has lapsed, or was renewed, since the last call. */
    void reportTransition(long now, Routing.Actions to) {
        if (lapsed != isConfirmed(now)) {
            return;
        }
        lapsed = !lapsed;
        if (lapsed) {
            lapsedAt = now;
            sentOnProof = 0;
            to.listUnconfirmed();
        } else {
            to.listConfirmed(now - lapsedAt, sentOnProof);
        }
    }
}
