package pepperdock.simulation.distribution;

import pepperdock.distribution.ConfigurationDigest;
import pepperdock.distribution.ConfigurationVersion;
import pepperdock.distribution.Durability;

/** An event of a run, recorded for the checks. Times are milliseconds of simulated time. */
public sealed interface Event {

    /** Returns the time of the event, in milliseconds of simulated time. */
    long at();

    /** An operator requests a change. */
    record Proposed(long at, long command) implements Event {}

    /** A control machine has applied a change; each does so once per incarnation. */
    record Settled(long at, long command, ConfigurationVersion version, ConfigurationDigest digest) implements Event {}

    /** The operator is notified that the change is settled. */
    record Acknowledged(long at, long command) implements Event {}

    /** A gatherer's process starts, with that version on its disk: either complete, or only as a lower bound. */
    record Started(long at, String gatherer, ConfigurationVersion onDisk) implements Event {}

    /** A gatherer's process ends. */
    record Stopped(long at, String gatherer, boolean diskLost) implements Event {}

    /** A gatherer puts a version in force; the digest is computed from its items. */
    record InForce(long at, String gatherer, ConfigurationVersion version, ConfigurationDigest digest)
            implements Event {}

    /** A gatherer reports to a control machine the version that it has in force and its durability. */
    record VersionReported(long at, String gatherer, ConfigurationVersion version, Durability durability)
            implements Event {}

    /** A gatherer that was cut off for {@code cutOffMillis} reports this age; negative if nothing is in force. */
    record AgeReported(long at, String gatherer, long cutOffMillis, long ageMillis) implements Event {}

    /** The fault schedule makes a gatherer unreachable for the settled log from {@code at} to {@code until}. */
    record Unreachable(long at, String gatherer, long until) implements Event {}
}
