package pepperdock.simulation.distribution;

/** The faults of a run. */
public enum HardCase {
    CALM("nothing"),
    LEADER_LOST("the leading control machine is lost with its disk during a change, and comes back with an empty disk"),
    REGION_CUT("a region is cut off from the others, with changes on the other side"),
    ZONE_LOST("a zone with a control machine and its gatherers loses power, and comes back"),
    MACHINE_STOPPED("the leading control machine's process is paused and resumes later"),
    MACHINE_PASSES_NOTHING(
            "the leading control machine accepts connections and bytes but sends nothing to subscribers"),
    ONE_WAY_CUTS("links that pass in one direction only, between control machines and to and from gatherers"),
    ZONE_RESTART("all gatherers of a zone restart during changes, one in four on an empty disk"),
    ALL_RESTART("every gatherer restarts within 60 s, one in ten on an empty disk"),
    ALL_NEW("every gatherer restarts within a second on an empty disk"),
    FIFTY_CHANGES("fifty changes in a minute"),
    DISK_FULL("one gatherer in ten has a full disk, and restarts with it"),
    UNREADABLE("one gatherer in five does not read a format that is in force for half a minute"),
    CROSSING("two operators change the same keys at the same time"),
    ALL_CONTROL_AWAY("the processes of all control machines are down for half a minute"),
    OLD_DISK("a control machine comes back with an old disk and considers itself confirmed"),
    MIXED("three of these, drawn at random, within half a minute");

    private final String description;

    HardCase(String description) {
        this.description = description;
    }

    /** Returns a short description. */
    public String description() {
        return description;
    }
}
