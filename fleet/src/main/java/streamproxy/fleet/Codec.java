package streamproxy.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import streamproxy.duties.Command;
import streamproxy.duties.Duty;
import streamproxy.duties.Ledger;
import streamproxy.duties.Member;
import streamproxy.duties.Result;
import streamproxy.duties.LeaseTimes;
import streamproxy.fleet.wire.AnswerRecord;
import streamproxy.fleet.wire.CommandRecord;
import streamproxy.fleet.wire.DepartRecord;
import streamproxy.fleet.wire.DutyRecord;
import streamproxy.fleet.wire.GrantedRecord;
import streamproxy.fleet.wire.HandOnRecord;
import streamproxy.fleet.wire.ImageRecord;
import streamproxy.fleet.wire.MarkRecord;
import streamproxy.fleet.wire.MemberRecord;
import streamproxy.fleet.wire.OpenRecord;
import streamproxy.fleet.wire.ReleaseRecord;
import streamproxy.fleet.wire.RenewRecord;
import streamproxy.fleet.wire.ResultRecord;
import streamproxy.fleet.wire.TakeRecord;
import streamproxy.fleet.wire.TermsRecord;

/** Commands, results and images of the ledger as records of {@code ledger.proto}, each with the schema's version. */
final class Codec {
    /** What cannot be read: spoilt, or written by a newer program. */
    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1;

        Unreadable(String why) { super(why); }
    }

    /** The schema's version; a record with a higher one is not read. */
    static final int VERSION = 2;
    private static final int SEVERAL_SINCE = 2;

    private Codec() { }

    /** Commands that are sent together; at least one. */
    static byte[] bytes(List<Command> commands) {
        CommandRecord.Builder record = record(commands.get(0));
        if (commands.size() > 1) {
            record.setVersion(SEVERAL_SINCE);
            commands.subList(1, commands.size()).forEach(command -> record.addAlso(record(command)));
        }
        return record.build().toByteArray();
    }

    static byte[] bytes(Command command) { return bytes(List.of(command)); }

    private static CommandRecord.Builder record(Command command) {
        Command.From from = command.from();
        CommandRecord.Builder record = CommandRecord.newBuilder().setVersion(1).setMember(from.member()).setSession(from.session())
                .setNumber(from.number());
        if (command instanceof Command.Open c) {
            record.setOpen(OpenRecord.newBuilder().setFolder(c.folder()).setStart(c.start()).setTerms(terms(c.terms())).setReplace(c.replace()));
        } else if (command instanceof Command.Depart c) {
            record.setDepart(DepartRecord.newBuilder().setWho(c.who()));
        } else if (command instanceof Command.Take c) {
            record.setTake(TakeRecord.newBuilder().setDuty(c.duty()).setFence(c.fence()).setRenewals(c.renewals()));
        } else if (command instanceof Command.Renew c) {
            record.setRenew(RenewRecord.newBuilder().setDuty(c.duty()).setFence(c.fence()));
        } else if (command instanceof Command.Release c) {
            record.setRelease(ReleaseRecord.newBuilder().setDuty(c.duty()).setFence(c.fence()).setNext(c.next()));
        } else if (command instanceof Command.Vacate c) {
            record.setVacate(TakeRecord.newBuilder().setDuty(c.duty()).setFence(c.fence()).setRenewals(c.renewals()));
        } else if (command instanceof Command.Mark c) {
            record.setMark(MarkRecord.newBuilder().setPlace(c.place()).setSum(c.sum()));
        } else if (command instanceof Command.HandOn c) {
            record.setHandOn(HandOnRecord.newBuilder().setDuty(c.duty()).setTo(c.to()));
        }
        return record;
    }

    static List<Command> commands(byte[] bytes) throws Unreadable {
        try {
            CommandRecord first = CommandRecord.parseFrom(bytes);
            List<Command> commands = new ArrayList<>();
            commands.add(command(first));
            for (CommandRecord one : first.getAlsoList()) {
                commands.add(command(one));
            }
            return commands;
        } catch (InvalidProtocolBufferException e) {
            throw new Unreadable("a command that cannot be read: " + e.getMessage());
        }
    }

    private static Command command(CommandRecord r) throws Unreadable {
        try {
            checkVersion(r.getVersion());
            Command.From from = new Command.From(r.getMember(), r.getSession(), r.getNumber());
            return switch (r.getWhatCase()) {
                case OPEN -> new Command.Open(from, r.getOpen().getFolder(), r.getOpen().getStart(), terms(r.getOpen().getTerms()),
                        r.getOpen().getReplace());
                case DEPART -> new Command.Depart(from, r.getDepart().getWho());
                case TAKE -> new Command.Take(from, r.getTake().getDuty(), r.getTake().getFence(), r.getTake().getRenewals());
                case RENEW -> new Command.Renew(from, r.getRenew().getDuty(), r.getRenew().getFence());
                case RELEASE -> new Command.Release(from, r.getRelease().getDuty(), r.getRelease().getFence(), r.getRelease().getNext());
                case HAND_ON -> new Command.HandOn(from, r.getHandOn().getDuty(), r.getHandOn().getTo());
                case VACATE -> new Command.Vacate(from, r.getVacate().getDuty(), r.getVacate().getFence(), r.getVacate().getRenewals());
                case MARK -> new Command.Mark(from, r.getMark().getPlace(), r.getMark().getSum());
                case WHAT_NOT_SET -> throw new Unreadable("a command of no known kind");
            };
        } catch (IllegalArgumentException e) {
            throw new Unreadable("a command that cannot be read: " + e.getMessage());
        }
    }

    /** What commands that were sent together were answered. */
    static byte[] answers(List<Result> results) {
        ResultRecord.Builder record = record(results.get(0)).toBuilder();
        if (results.size() > 1) {
            record.setVersion(SEVERAL_SINCE);
            results.subList(1, results.size()).forEach(result -> record.addAlso(record(result)));
        }
        return record.build().toByteArray();
    }

    static List<Result> results(byte[] bytes) throws Unreadable {
        try {
            ResultRecord first = ResultRecord.parseFrom(bytes);
            List<Result> results = new ArrayList<>();
            results.add(result(first));
            for (ResultRecord one : first.getAlsoList()) {
                results.add(result(one));
            }
            return results;
        } catch (InvalidProtocolBufferException e) {
            throw new Unreadable("a result that cannot be read: " + e.getMessage());
        }
    }

    static byte[] bytes(Ledger.Image image) {
        ImageRecord.Builder record = ImageRecord.newBuilder().setVersion(1).setEpoch(image.epoch());
        if (image.terms() != null) {
            record.setTerms(terms(image.terms()));
        }
        for (Member m : image.members()) {
            record.addMembers(MemberRecord.newBuilder().setName(m.name()).setFolder(m.folder()).setStart(m.start()).setSession(m.session())
                    .setSince(m.since()));
        }
        for (Duty d : image.duties()) {
            record.addDuties(DutyRecord.newBuilder().setName(d.name()).setHolder(d.holder()).setSession(d.session()).setFence(d.fence())
                    .setRenewals(d.renewals()).setNext(d.next()).setLeaving(d.leaving()));
        }
        for (Ledger.Answer a : image.answers()) {
            record.addAnswers(AnswerRecord.newBuilder().setMember(a.member()).setSession(a.session()).setNumber(a.number())
                    .setResult(record(a.result())));
        }
        return record.build().toByteArray();
    }

    static Ledger.Image image(byte[] bytes) throws Unreadable {
        try {
            ImageRecord r = ImageRecord.parseFrom(bytes);
            checkVersion(r.getVersion());
            List<Ledger.Answer> answers = new ArrayList<>();
            for (AnswerRecord a : r.getAnswersList()) {
                answers.add(new Ledger.Answer(a.getMember(), a.getSession(), a.getNumber(), result(a.getResult())));
            }
            return new Ledger.Image(r.hasTerms() ? terms(r.getTerms()) : null, r.getEpoch(),
                    r.getMembersList().stream().map(m -> new Member(m.getName(), m.getFolder(), m.getStart(), m.getSession(), m.getSince())).toList(),
                    r.getDutiesList().stream().map(d -> new Duty(d.getName(), d.getHolder(), d.getSession(), d.getFence(), d.getRenewals(),
                            d.getNext(), d.getLeaving())).toList(), answers);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new Unreadable("an image that cannot be read: " + e.getMessage());
        }
    }

    private static ResultRecord record(Result result) {
        ResultRecord.Builder record = ResultRecord.newBuilder().setVersion(1);
        if (result instanceof Result.Granted g) {
            return record.setGranted(GrantedRecord.newBuilder().setFence(g.fence()).setClean(g.clean())).build();
        }
        return result instanceof Result.Refused r ? record.setRefused(r.why().ordinal()).build() : record.setDone(true).build();
    }

    private static Result result(ResultRecord r) throws Unreadable {
        checkVersion(r.getVersion());
        Result.Why[] whys = Result.Why.values();
        return switch (r.getWhatCase()) {
            case DONE -> new Result.Done();
            case GRANTED -> new Result.Granted(r.getGranted().getFence(), r.getGranted().getClean());
            case REFUSED -> {
                if (r.getRefused() < 0 || r.getRefused() >= whys.length) {
                    throw new Unreadable("a refusal of no known kind: " + r.getRefused());
                }
                yield new Result.Refused(whys[r.getRefused()]);
            }
            case WHAT_NOT_SET -> throw new Unreadable("a result of no known kind");
        };
    }

    private static TermsRecord terms(LeaseTimes terms) {
        return TermsRecord.newBuilder().setLeaseNs(terms.leaseNs()).setDriftPpm(terms.driftPpm()).setActNs(terms.actNs()).build();
    }

    private static LeaseTimes terms(TermsRecord r) { return new LeaseTimes(r.getLeaseNs(), r.getDriftPpm(), r.getActNs()); }

    private static void checkVersion(int version) throws Unreadable {
        if (version < 1 || version > VERSION) {
            throw new Unreadable("a record of schema " + version + ", and this program knows up to " + VERSION);
        }
    }

}
