/**
 * Fault injection: several real processes of the built program on loopback, a relay on each ordered pair of them, and faults
 * by a timed script. Events are written to a history by one clock, and a {@link pepperdock.faultinjection.Checker} judges the
 * history, not the run: the same file gives the same verdict again.
 *
 * <p>{@link pepperdock.faultinjection.Script} (what to do), {@link pepperdock.faultinjection.Timetable} (when, drawn from a seed) and
 * {@link pepperdock.faultinjection.LinkFaults} (the effect on a datagram) are free of I/O and clock. {@code Relay} owns the
 * sockets, {@code ChildProcesses} the processes, and {@code FaultInjectionRun} runs them. Everything is on 127.0.0.0/8 and bounded in number and
 * time.
 *
 * <p>To add a fault: a name in {@code ActReader} and, on links, an effect in {@code LinkFaults}. To add an event: one call
 * of {@link pepperdock.events.Events} in the program. To add a checker: a class, and its name in {@code Checkers}.
 */
package pepperdock.faultinjection;
