/**
 * Benchmarks that measure how cost grows with the size of the deployment: the gatherer's decisions alone on a manual
 * clock ({@link pepperdock.benchmark.DecisionCost}), and a gatherer in its own process between an open-loop load
 * generator and emulated workers ({@link pepperdock.benchmark.SocketBench}). All addresses are in 127.0.0.0/8. Results
 * hold only for the machine that they were measured on; docs/design/scale.md says what they may be used for.
 */
package pepperdock.benchmark;
