/**
 * Measurements of how cost grows with the size of the deployment: the gatherer's decisions alone, on a clock moved by hand
 * ({@link pepperdock.benchmark.DecisionCost}), and a gatherer in a process of its own between an open-loop load generator and
 * emulated workers ({@link pepperdock.benchmark.SocketBench}). Everything is on 127.0.0.0/8. Figures are of the machine that
 * they were taken on: see docs/design/scale.md for what they may be used for.
 */
package pepperdock.benchmark;
