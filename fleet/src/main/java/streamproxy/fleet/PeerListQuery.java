package streamproxy.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tinylog.Logger;
import streamproxy.fleet.wire.AnswerToMember;
import streamproxy.fleet.wire.KeptAnswer;
import streamproxy.fleet.wire.KeptLine;
import streamproxy.fleet.wire.KeptQuestion;
import streamproxy.fleet.wire.QuestionRecord;

/**
 * What the other members know of the box list, for one that starts: its own disk may be old, damaged or empty, and the list's
 * service away. All are asked at once; who does not answer in time is not waited for.
 */
final class PeerListQuery {
    private final String me;
    private final Peers peers;

    /** @param has what this router has of the list, for others that start */
    PeerListQuery(String me, Peers peers, Supplier<KeptList.Known> has) {
        this.me = me;
        this.peers = peers;
        peers.answer(QuestionRecord.WhatCase.KEPT, question -> CompletableFuture.completedFuture(answer(has.get())));
    }

    private static AnswerToMember.Builder answer(KeptList.Known known) {
        KeptAnswer.Builder answer = KeptAnswer.newBuilder().setListVersion(known.version());
        if (known.version() >= 0) {
            answer.setService(known.service()).setWhole(known.whole()).setLine(known.line().getText());
        }
        return AnswerToMember.newBuilder().setKept(answer);
    }

    /** Asks all of them but this one; tells what each answered, on this thread, for so long at most. How many answered. */
    int ask(Collection<String> members, long patienceMs, Consumer<KeptList.Known> tell) throws InterruptedException {
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        List<CompletableFuture<AnswerToMember>> asked = new ArrayList<>();
        members.stream().filter(name -> !name.equals(me))
                .forEach(name -> asked.add(peers.ask(name, QuestionRecord.newBuilder().setKept(KeptQuestion.getDefaultInstance()))));
        int answered = 0;
        for (CompletableFuture<AnswerToMember> one : asked) {
            try {
                KeptAnswer answer = one.get(Math.max(0, by - System.nanoTime()), TimeUnit.NANOSECONDS).getKept();
                answered++;
                if (answer.getListVersion() >= 0) {
                    tell.accept(KeptList.Known.NOTHING.with(KeptLine.newBuilder().setService(answer.getService())
                            .setListVersion(answer.getListVersion()).setFull(answer.getWhole()).setText(answer.getLine()).build()));
                }
            } catch (ExecutionException | TimeoutException | IllegalArgumentException e) {
                Logger.debug("fleet: a member does not tell which box list it has: {}", e.toString());
            }
        }
        return answered;
    }
}
