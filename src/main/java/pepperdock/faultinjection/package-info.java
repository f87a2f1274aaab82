/**
 * The rig: several real processes of the built program on loopback, a relay on each ordered pair of them, and faults by a
 * timed script. What happened is written to a history by one clock, and a {@link pepperdock.faultinjection.Checker} judges the
 * history, not the run: the same file gives the same verdict again.
 *
 * <p>{@link pepperdock.faultinjection.Script} (what to do), {@link pepperdock.faultinjection.Timetable} (when, drawn from a seed) and
 * {@link pepperdock.faultinjection.LinkFaults} (what becomes of a datagram) are free of I/O and clock. {@code Relay} has the sockets,
 * {@code Children} the processes, {@code Rig} runs them. Everything is on 127.0.0.0/8, bounded in number and in time.
 *
 * <p>To add a fault: a name in {@code ActReader} and, on links, an effect in {@code LinkFaults}. To add an event: one call
 * of {@link pepperdock.events.Events} in the program. To add a checker: a class, and its name in {@code Checkers}.
 */
package pepperdock.faultinjection;
