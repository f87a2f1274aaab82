package pepperdock.faultinjection.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What other clients do while ordinary ones are served.
 *
 * @param cpuShare the share of processor time that the gatherer gets, above 0 and at most 1
 * @param sockets the limit of descriptors that the gatherer is configured with
 * @param clientsLeave whether some ordinary clients close their connection before the answer
 * @param phases what other clients do, one phase after the other
 */
public record OverloadPlan(long seed, double cpuShare, int sockets, boolean clientsLeave, List<Phase> phases) {

    /**
     * One phase.
     *
     * @param message what the clients at full speed send
     * @param pace how they send it
     * @param flooders how many clients send at full speed
     * @param slowKind what the slow clients write
     * @param slowClients how many clients write slowly
     */
    public record Phase(
            FloodMessage message,
            FloodClient.Pace pace,
            int flooders,
            SlowClients.Kind slowKind,
            int slowClients,
            double durationS) {}

    /** The limit of scored days, and those of smaller and larger installations. */
    private static final int[] SOCKETS = {1024, 1024, 256, 4096};

    private static final int MIN_PHASES = 2;
    private static final int MAX_PHASES = 3;
    private static final int MAX_FLOODERS = 12;
    private static final int MAX_SLOW_CLIENTS = 300;
    private static final double MIN_CPU_SHARE = 0.35;

    /** Returns a plan of a single phase. */
    public static OverloadPlan of(double cpuShare, int sockets, Phase phase) {
        return new OverloadPlan(1, cpuShare, sockets, false, List.of(phase));
    }

    /** Draws a plan. */
    public static OverloadPlan draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int count = random.nextInt(MIN_PHASES, MAX_PHASES + 1);
        List<Phase> phases = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            phases.add(drawPhase(random));
        }
        double cpuShare = random.nextDouble(MIN_CPU_SHARE, 1);
        boolean clientsLeave = random.nextBoolean();
        return new OverloadPlan(seed, cpuShare, SOCKETS[random.nextInt(SOCKETS.length)], clientsLeave, phases);
    }

    private static Phase drawPhase(SplittableRandom random) {
        FloodMessage[] messages = FloodMessage.values();
        FloodClient.Pace[] paces = FloodClient.Pace.values();
        SlowClients.Kind[] kinds = SlowClients.Kind.values();
        return new Phase(
                messages[random.nextInt(messages.length)],
                paces[random.nextInt(paces.length)],
                random.nextInt(MAX_FLOODERS + 1),
                kinds[random.nextInt(kinds.length)],
                random.nextBoolean() ? 0 : random.nextInt(MAX_SLOW_CLIENTS + 1),
                random.nextDouble(2, 5));
    }
}
