/**
 * Runs schedulers in a simulator of fleets, which plays all other parts: events come as JSON lines on standard input, decisions
 * go as JSON lines to standard output.
 *
 * <p>{@link pepperdock.simulator.SimulatorAdapter} reads the lines and keeps one {@code SimulatedGatherer} for each gatherer of
 * the simulated fleet. The words of the simulator's wire stand in {@code SimulatorProtocol} alone. Everything runs on the
 * caller's thread, and simulated time comes with the events, so that a run depends on its input alone.
 */
package pepperdock.simulator;
