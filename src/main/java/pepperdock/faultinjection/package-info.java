/**
 * Fault injection: runs several real processes of the built program on loopback addresses, with a relay on each ordered
 * pair of them, and injects faults by a timed script. Events are written to a history by one clock. A
 * {@link pepperdock.faultinjection.Checker} judges the history, not the run: the same file always gives the same verdict.
 *
 * <p>{@link pepperdock.faultinjection.Script} (what to do), {@link pepperdock.faultinjection.FaultSchedule} (when, with
 * random choices from a seed) and {@link pepperdock.faultinjection.LinkFaults} (the effect on a datagram) use no I/O and no
 * clock. {@code Relay} owns the sockets, {@code ChildProcesses} the processes, and {@code FaultInjectionRun} runs them.
 * Everything is on 127.0.0.0/8 and bounded in number and time.
 *
 * <p>To add a fault, add a name to {@code ActionReader} and, for links, an effect to {@code LinkFaults}. To add an event,
 * add one call of {@link pepperdock.events.Events} to the program. To add a checker, add a class and its name to
 * {@code Checkers}.
 */
package pepperdock.faultinjection;
