/**
 * Runs schedulers against a fleet simulator, which simulates everything else: events arrive as JSON lines on standard
 * input, decisions are written as JSON lines to standard output.
 *
 * <p>{@link pepperdock.simulator.SimulatorAdapter} reads the lines and keeps one {@code SimulatedGatherer} for each
 * gatherer of the simulated fleet. The names on the simulator's wire appear in {@code SimulatorProtocol} only.
 * Everything runs on the caller's thread, and simulated time comes with the events, so that a run depends on its input
 * only.
 */
package pepperdock.simulator;
