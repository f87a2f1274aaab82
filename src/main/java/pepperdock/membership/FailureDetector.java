package pepperdock.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import pepperdock.membership.Message.Ack;
import pepperdock.membership.Message.Header;
import pepperdock.membership.Message.IndirectAck;
import pepperdock.membership.Message.IndirectPing;
import pepperdock.membership.Message.WrongAddressee;

/**
 * Probes this member's subjects and publishes its observations of them. It pings them directly, and indirectly if a
 * ping is not acknowledged in time (SWIM, section 3.1). It probes fixed subjects and not all members in random order
 * (Rapid, section 4.1), and extends its timeouts while its own ticks come late (LHA-Probe of Lifeguard). Owned by the
 * thread that calls {@link Membership}.
 */
final class FailureDetector {

    private final MembershipSettings settings;
    private final LocalMember local;
    private final MembershipTable table;
    private final Random random;
    private final Outbox outbox;
    private final Disseminator disseminator;
    private final LocalHealth health;
    private final Map<String, SubjectMonitor> monitors = new TreeMap<>();
    /** Monitor of another process that holds this member's name; null while there is none. */
    private SubjectMonitor nameHolderMonitor;
    /** The table's version when subjects were last looked up. */
    private long subjectsVersion = -1;

    FailureDetector(
            MembershipSettings settings,
            LocalMember local,
            MembershipTable table,
            Random random,
            Outbox outbox,
            Disseminator disseminator) {
        this.settings = settings;
        this.local = local;
        this.table = table;
        this.random = random;
        this.outbox = outbox;
        this.disseminator = disseminator;
        health = new LocalHealth(settings);
    }

    // ---- Time ------------------------------------------------------------

    /** Records by how much a tick came late: silence during that time says nothing about the subjects. */
    void onTick(double lateBy, double now) {
        if (!health.onTick(lateBy, now)) {
            return;
        }
        monitors.values().forEach(monitor -> monitor.extendDeadlines(lateBy));
        if (health.isPause(lateBy)) {
            outbox.emit(new MembershipOutput.Notice(
                    MembershipOutput.Notice.PAUSED, "a tick came late by this member's own clock", lateBy));
        }
    }

    /** Pings each subject that is due; {@code elapsed} is the time since the last call. */
    void probeSubjects(double elapsed, double now) {
        if (table.version() != subjectsVersion) {
            subjectsVersion = table.version();
            refreshMonitors(now);
        }
        monitors.forEach((subject, monitor) -> probe(monitor, table.get(subject).memberRecord(), elapsed, now));
    }

    private void refreshMonitors(double now) {
        Set<String> subjects = table.rings().subjectsOf(local.name());
        monitors.entrySet()
                .removeIf(monitor -> !subjects.contains(monitor.getKey())
                        || monitor.getValue().generation() != generationOf(monitor.getKey()));
        for (String subject : subjects) {
            monitors.computeIfAbsent(
                    subject,
                    name -> new SubjectMonitor(
                            settings, generationOf(name), now, now + settings.probeIntervalS() * random.nextDouble()));
        }
    }

    private long generationOf(String name) {
        return table.get(name).memberRecord().generation();
    }

    /**
     * Pings a subject when it is due, and has others ping it when it did not acknowledge in time. A ping that the
     * budget withholds was not sent, so the missing answer says nothing about the subject.
     */
    private void probe(SubjectMonitor monitor, MemberRecord subject, double elapsed, double now) {
        if (monitor.isPingDue(now)) {
            boolean sameState = monitor.stateDigest() == table.stateDigest();
            if (outbox.ping(subject, monitor.lastSequence() + 1, sameState)) {
                monitor.onPingSent(now);
            } else {
                monitor.extendDeadlines(elapsed);
            }
        } else if (monitor.startIndirectProbe(now)) {
            requestIndirectPings(subject, monitor.lastSequence());
        }
    }

    private void requestIndirectPings(MemberRecord subject, long sequence) {
        List<String> others = new ArrayList<>(table.rings().names());
        others.remove(local.name());
        others.remove(subject.name());
        for (int i = 0; i < settings.indirectProbes() && !others.isEmpty(); i++) {
            String helper = others.remove(random.nextInt(others.size()));
            outbox.send(
                    table.get(helper).memberRecord().address(),
                    new IndirectPing(
                            outbox.header(), subject.name(), subject.generation(), subject.address(), sequence),
                    BandwidthBudget.Use.INDIRECT);
        }
    }

    // ---- Observations ------------------------------------------------------------

    /** Publishes this member's observations of its subjects if they have changed. */
    void publishObservations(double now) {
        Map<String, Observations.SubjectObservation> bySubject = Map.of();
        int unreachable = 0;
        for (Map.Entry<String, SubjectMonitor> monitor : monitors.entrySet()) {
            Observation observation = monitor.getValue().updateObservation(now, health.timeoutFactor());
            if (observation != null) {
                bySubject = bySubject.isEmpty() ? new HashMap<>() : bySubject;
                bySubject.put(
                        monitor.getKey(),
                        new Observations.SubjectObservation(monitor.getValue().generation(), observation));
                unreachable += observation == Observation.UNREACHABLE ? 1 : 0;
            }
        }
        boolean unhealthy =
                settings.localHealthEnabled() && (health.recentlyPaused(now) || 2 * unreachable > monitors.size());
        Observations before = table.get(local.name()).observations();
        if (!bySubject.equals(before.bySubject()) || unhealthy != before.unhealthy()) {
            disseminator.merge(
                    new Observations(local.name(), local.generation(), before.revision() + 1, unhealthy, bySubject),
                    now);
        }
    }

    /** Returns whether most of the subjects, not counting the excluded ones, have been heard after that time. */
    boolean majorityHeardAfter(double then, Collection<String> excluded) {
        int subjects = 0;
        int heard = 0;
        for (Map.Entry<String, SubjectMonitor> monitor : monitors.entrySet()) {
            if (!excluded.contains(monitor.getKey())) {
                subjects++;
                heard += monitor.getValue().heardAfter(then) ? 1 : 0;
            }
        }
        return subjects == 0 || 2 * heard > subjects;
    }

    // ---- Messages ------------------------------------------------------------

    /** Records when a datagram was received from its sender, and the sender's state digest. */
    void onHeader(Header header, double now) {
        SubjectMonitor monitor = monitors.get(header.name());
        if (monitor != null && monitor.generation() == header.generation()) {
            monitor.onMessage(now);
            monitor.onStateDigest(header.stateDigest());
        }
    }

    void onAck(Ack ack, double now) {
        SubjectMonitor monitor = monitorOf(ack.header().name(), ack.header().generation());
        if (monitor != null) {
            monitor.onAck(ack.sequence(), now);
        }
    }

    void onIndirectAck(IndirectAck ack, double now) {
        SubjectMonitor monitor = monitorOf(ack.subject(), ack.generation());
        if (monitor != null) {
            monitor.onIndirectAck(now);
        }
    }

    void onWrongAddressee(WrongAddressee message) {
        SubjectMonitor monitor = monitorOf(message.target(), message.generation());
        if (monitor != null) {
            monitor.onWrongAddressee();
        }
    }

    /** Returns the monitor of that member in that generation, or null if it is not probed. */
    private SubjectMonitor monitorOf(String name, long generation) {
        SubjectMonitor monitor = name.equals(local.name()) ? nameHolderMonitor : monitors.get(name);
        return monitor != null && monitor.generation() == generation ? monitor : null;
    }

    // ---- Another process with this member's name ------------------------------------------------------------

    /** Stops observing all subjects: a member whose name another process holds observes nobody. */
    void stopObserving() {
        monitors.clear();
        subjectsVersion = -1;
    }

    /** Starts to monitor the process that holds the name, unless it is monitored already. */
    void monitorNameHolder(MemberRecord holder, double now) {
        if (nameHolderMonitor == null || nameHolderMonitor.generation() != holder.generation()) {
            nameHolderMonitor = new SubjectMonitor(settings, holder.generation(), now, now);
        }
    }

    boolean isNameHolderUnreachable(double now) {
        return nameHolderMonitor.updateObservation(now, health.timeoutFactor()) == Observation.UNREACHABLE;
    }

    void probeNameHolder(MemberRecord holder, double elapsed, double now) {
        probe(nameHolderMonitor, holder, elapsed, now);
    }

    void stopMonitoringNameHolder() {
        nameHolderMonitor = null;
    }
}
