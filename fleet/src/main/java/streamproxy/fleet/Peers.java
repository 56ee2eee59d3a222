package streamproxy.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.tinylog.Logger;
import streamproxy.fleet.wire.AnswerToMember;
import streamproxy.fleet.wire.QuestionRecord;

/**
 * What members ask each other beside the common log: a record there, a record back, each with its schema's version. Nothing
 * rests on an answer's coming; who asks goes on without after {@link Ensemble#REQUEST}.
 */
final class Peers {
    static final int VERSION = 1;

    private final String me;
    private final BiFunction<String, byte[], CompletableFuture<byte[]>> send;
    private final Map<QuestionRecord.WhatCase, Function<QuestionRecord, CompletableFuture<AnswerToMember.Builder>>> answers = new ConcurrentHashMap<>();
    private final AtomicLong unread = new AtomicLong();

    /** @param send takes bytes to that member and brings what it answered, or fails in bounded time */
    Peers(String me, BiFunction<String, byte[], CompletableFuture<byte[]>> send) {
        this.me = me;
        this.send = send;
    }

    /** Who answers questions of that kind; it must not wait. */
    void answer(QuestionRecord.WhatCase kind, Function<QuestionRecord, CompletableFuture<AnswerToMember.Builder>> how) { answers.put(kind, how); }

    CompletableFuture<AnswerToMember> ask(String member, QuestionRecord.Builder question) {
        return send.apply(member, question.setVersion(VERSION).setMember(me).build().toByteArray()).thenApply(this::read);
    }

    private AnswerToMember read(byte[] bytes) {
        try {
            AnswerToMember answer = AnswerToMember.parseFrom(bytes);
            if (answer.getVersion() == VERSION) {
                return answer;
            }
        } catch (InvalidProtocolBufferException e) {
            // said below
        }
        throw refused("an answer");
    }

    /** A question has come; the answer to it, which fails at once where the question cannot be read. */
    CompletableFuture<byte[]> asked(byte[] bytes) {
        try {
            QuestionRecord question = QuestionRecord.parseFrom(bytes);
            Function<QuestionRecord, CompletableFuture<AnswerToMember.Builder>> how = answers.get(question.getWhatCase());
            if (question.getVersion() == VERSION && how != null) {
                return how.apply(question).thenApply(answer -> answer.setVersion(VERSION).build().toByteArray());
            }
        } catch (InvalidProtocolBufferException e) {
            // said below
        }
        return CompletableFuture.failedFuture(refused("a question"));
    }

    private IllegalArgumentException refused(String what) {
        if (unread.getAndIncrement() == 0) {
            Logger.warn("fleet: {} of another member cannot be read here: spoilt, or of another schema than {}; told once", what, VERSION);
        }
        return new IllegalArgumentException(what + " that cannot be read");
    }

    /** How many questions and answers could not be read. */
    long unread() { return unread.get(); }
}
