package pepperdock.simulation.distribution;

import pepperdock.distribution.ConfigurationDigest;
import pepperdock.distribution.ConfigurationVersion;
import pepperdock.distribution.Durability;

/** What happened, for the checks. Times are milliseconds of simulated time. */
public sealed interface Event {

    /** When it happened, in milliseconds of simulated time. */
    long at();

    /** An operator asks for a change. */
    record Proposed(long at, long command) implements Event {}

    /** A control machine has applied a change; each does so once a life. */
    record Settled(long at, long command, ConfigurationVersion version, ConfigurationDigest digest) implements Event {}

    /** The operator is told that the change is settled. */
    record Acknowledged(long at, long command) implements Event {}

    /** A gatherer's process starts, and its disk knows of that version: whole, or as a floor. */
    record Started(long at, String gatherer, ConfigurationVersion onDisk) implements Event {}

    /** A gatherer's process ends. */
    record Stopped(long at, String gatherer, boolean diskLost) implements Event {}

    /** A gatherer puts a version in force; the digest is that of its very items. */
    record InForce(long at, String gatherer, ConfigurationVersion version, ConfigurationDigest digest)
            implements Event {}

    /** A gatherer tells a control machine what it has in force and what its disk holds. */
    record Said(long at, String gatherer, ConfigurationVersion version, Durability durability) implements Event {}

    /** A gatherer that was cut off for so long has this age to tell; a negative one where nothing is in force. */
    record Aged(long at, String gatherer, long cutOffMillis, long ageMillis) implements Event {}

    /** From then to then a gatherer could not be reached by the settled log, by the script. */
    record Hindered(long at, String gatherer, long until) implements Event {}
}
