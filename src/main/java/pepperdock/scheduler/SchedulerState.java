package pepperdock.scheduler;

import java.util.ArrayList;
import java.util.List;
import pepperdock.estimate.WarmUpAllowance;

/** Plain data the module keeps: queries, parts, attempts at them, calls, searchers, and the ways to their centres. */
final class SchedulerState {

    private SchedulerState() {}

    /** A query in hand. */
    static final class Query {
        final long id;
        final long no;
        final int classNo;
        final QueryClass kind;
        final int maxAttempts;
        double aimAt;
        double halfAt;
        double freshUntil;
        double endAt;
        int step = 1;
        double in;
        boolean ended;
        boolean sent;
        boolean overShare;
        boolean firstWhole;
        List<Part> parts = new ArrayList<>();

        Query(long id, long no, int classNo, QueryClass kind, int maxAttempts) {
            this.id = id;
            this.no = no;
            this.classNo = classNo;
            this.kind = kind;
            this.maxAttempts = maxAttempts;
        }
    }

    /** A part of a query; {@code wanted} once the query's count includes it. */
    static final class Part {
        final long id;
        final Query query;
        final int shard;
        final double weight;
        boolean in;
        boolean wanted;
        int out;
        List<Attempt> attempts = new ArrayList<>();

        Part(long id, Query query, int shard, double weight) {
            this.id = id;
            this.query = query;
            this.shard = shard;
            this.weight = weight;
        }
    }

    /** One attempt at a part. */
    static final class Attempt {
        final Part part;
        final int no;
        final EndpointRecord searcher;
        final Call call;
        final double sentAt;
        boolean overdue;
        boolean lost;
        boolean calledOff;
        boolean trial;
        AttemptOutcome outcome;

        Attempt(Part part, int no, EndpointRecord searcher, Call call) {
            this.part = part;
            this.no = no;
            this.searcher = searcher;
            this.call = call;
            sentAt = call.sentAt;
        }
    }

    /** The parts sent to one searcher in one turn that travel together. */
    static final class Call {
        final double sentAt;
        final double idle;
        int parts;
        boolean told;

        Call(double sentAt, double idle) {
            this.sentAt = sentAt;
            this.idle = idle;
        }
    }

    /** A searcher as this instance knows it: what the list says, and what its own attempts saw. */
    static final class EndpointRecord {
        final String id;
        int zone;
        int cell;
        boolean usable;
        boolean listed;
        double coldSince = Double.NEGATIVE_INFINITY;
        WarmUpAllowance warmUp;
        double bad;
        boolean dead;
        /** What it said last was an error: it is there, and quick to say so. */
        boolean errs;

        double trialAt;
        double backOff;
        double lastOk = Double.NEGATIVE_INFINITY;
        double timelySent = Double.NEGATIVE_INFINITY;
        Call call;
        double usedAt = Double.NEGATIVE_INFINITY;
        boolean mute;
        final List<Attempt> open = new ArrayList<>();

        EndpointRecord(String id) {
            this.id = id;
        }

        int out() {
            return open.size();
        }
    }

    /** The way to a centre: the record of attempts at its searchers together, and since when it is bad. */
    static final class ZoneRecord {
        double bad;
        double badSince = Double.NEGATIVE_INFINITY;
        double trialAt = Double.NEGATIVE_INFINITY;
    }
}
