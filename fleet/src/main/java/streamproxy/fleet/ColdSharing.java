package streamproxy.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.tinylog.Logger;
import streamproxy.duties.Share;
import streamproxy.duties.Shares;
import streamproxy.duties.Steward;
import streamproxy.fleet.wire.AnswerToMember;
import streamproxy.fleet.wire.QuestionRecord;
import streamproxy.fleet.wire.SharesAnswer;
import streamproxy.fleet.wire.SharesQuestion;
import streamproxy.routing.ColdShares;

/**
 * The first owner of a cold box divides what the box can bear among the members that ask it; each asks for its share five
 * times a second while the box is cold. Where nobody answers, a share lapses by itself and the module's own rule holds.
 */
final class ColdSharing implements ColdShares, AutoCloseable {
    private record Cold(double share, double promptsPerS, long at) { }

    private static final String THREAD = "fleet shares";
    private static final long EVERY_MS = 200;
    private static final long SHARE_NS = 1_000_000_000L;
    private static final long COLD_FOR_NS = 1_000_000_000L;
    private static final int BOXES_MOST = 4_096;
    private static final double NOTHING_SAID = -1;

    private final String me;
    private final Supplier<MemberDivision> living;
    private final Peers peers;
    private final int driftPpm;
    private final Steward steward; // under its own lock
    private final Map<Long, Cold> cold = new ConcurrentHashMap<>();
    private final Map<Long, Share> shares = new HashMap<>(); // under this one's
    private final Map<Long, Boolean> had = new ConcurrentHashMap<>();
    private volatile Module module;
    private volatile boolean closed;

    ColdSharing(String me, Supplier<MemberDivision> living, int driftPpm, Peers peers) {
        this.me = me;
        this.living = living;
        this.driftPpm = driftPpm;
        this.peers = peers;
        steward = new Steward(SHARE_NS, driftPpm);
        peers.answer(QuestionRecord.WhatCase.SHARES, question -> CompletableFuture.completedFuture(
                AnswerToMember.newBuilder().setShares(asked(question.getMember(), question.getShares()))));
    }

    @Override public void begin(Module to) {
        module = to;
        Thread thread = new Thread(null, this::run, THREAD, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    @Override public void cold(long box, double share, double promptsPerS) {
        if (cold.size() < BOXES_MOST || cold.containsKey(box)) {
            cold.put(box, new Cold(share, promptsPerS, System.nanoTime()));
        }
    }

    // ---- As a steward ---------------------------------------------------------------------------------

    private SharesAnswer asked(String member, SharesQuestion question) {
        SharesAnswer.Builder answer = SharesAnswer.newBuilder().setForNs(SHARE_NS);
        synchronized (steward) {
            long now = System.nanoTime();
            for (long box : question.getBoxesList()) {
                Cold known = cold.get(box);
                if (known != null) {
                    steward.cold(known.at, box, known.share);
                }
                // Asked under the lock: whoever may act now has been the only one for as long as it takes to answer.
                MemberDivision view = living.get();
                if (view.place(box) == 0 && view.mayNow()) {
                    steward.is(now, box);
                } else {
                    steward.isNot(box);
                }
                Shares.Grant grant = steward.ask(now, box, member, question.getPromptsPerS());
                answer.addPerS(grant == null ? NOTHING_SAID : grant.perS());
            }
            steward.tidy(now);
        }
        return answer.build();
    }

    // ---- As one who asks ------------------------------------------------------------------------------

    private void run() {
        while (!closed) {
            try {
                TimeUnit.MILLISECONDS.sleep(EVERY_MS);
                long now = System.nanoTime();
                cold.values().removeIf(one -> now - one.at > COLD_FOR_NS);
                synchronized (shares) {
                    shares.keySet().retainAll(cold.keySet());
                }
                had.keySet().retainAll(cold.keySet());
                if (!cold.isEmpty()) {
                    ask(living.get());
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException e) {
                Logger.error(e, "{} goes on after", THREAD);
            }
        }
    }

    private void ask(MemberDivision view) {
        Map<String, List<Long>> byFirst = cold.keySet().stream().filter(box -> view.first(box) != null)
                .collect(Collectors.groupingBy(view::first, TreeMap::new, Collectors.toList()));
        double perS = cold.values().stream().mapToDouble(Cold::promptsPerS).max().orElse(0);
        byFirst.forEach((first, boxes) -> {
            SharesQuestion question = SharesQuestion.newBuilder().setPromptsPerS(perS).addAllBoxes(boxes).build();
            Map<Long, Long> numbers = new HashMap<>();
            synchronized (shares) {
                long now = System.nanoTime();
                boxes.forEach(box -> numbers.put(box, shares.computeIfAbsent(box, b -> new Share(driftPpm)).asks(now)));
            }
            if (first.equals(me)) {
                granted(question, numbers, asked(me, question));
            } else {
                peers.ask(first, QuestionRecord.newBuilder().setShares(question)).whenComplete((answer, error) -> {
                    if (error == null) {
                        granted(question, numbers, answer.getShares());
                    } else {
                        Logger.debug("fleet: {} gives no shares: {}", first, error.toString());
                    }
                });
            }
        });
    }

    private void granted(SharesQuestion question, Map<Long, Long> numbers, SharesAnswer answer) {
        for (int i = 0; i < Math.min(question.getBoxesCount(), answer.getPerSCount()); i++) {
            long box = question.getBoxes(i);
            double perS;
            long left;
            synchronized (shares) {
                Share share = shares.get(box);
                if (share == null || answer.getPerS(i) < 0) {
                    continue;
                }
                long now = System.nanoTime();
                share.granted(now, numbers.get(box), new Shares.Grant(answer.getPerS(i), answer.getForNs()));
                perS = share.perS(now);
                left = share.leftNs(now);
            }
            if (left > 0) {
                module.granted(box, perS, left);
                had.put(box, true);
            }
        }
    }

    /** For how many cold boxes this router has been given a share while they have been cold. */
    int given() { return had.size(); }

    /** What this router, as a steward, has out, prompts a second. */
    double out() {
        synchronized (steward) {
            return steward.out(System.nanoTime());
        }
    }

    @Override public void close() { closed = true; }
}
