/**
 * Commands of the command line other than {@code serve} and {@code drill}: planning, configuration checks, simulations, fault
 * injection, benchmarks and the query of the membership. Neither this package nor its parser library is loaded by a serving
 * gatherer. Exit status: 0 success, 1 failure, 2 faulty input or usage, 3 no solution.
 */
package pepperdock.cli;
